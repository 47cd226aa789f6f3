/** A small mesh in one process, and a check of what its callers and targets saw. */
package org.cuminreach.trial.once;
