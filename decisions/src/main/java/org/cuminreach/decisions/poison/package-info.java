/** Requests that crash each target that runs them: found after few crashes, then refused. */
package org.cuminreach.decisions.poison;
