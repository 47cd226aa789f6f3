/** Callers that send numbered calls and count what came of each. */
package org.cuminreach.trial.load;
