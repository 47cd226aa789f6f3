/** A mesh in one process and a check that its targets run each call at most once despite faults. */
package org.cuminreach.trial.once;
