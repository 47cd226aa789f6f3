/** Detection and refusal of poison requests, which crash every target that runs them. */
package org.cuminreach.decisions.poison;
