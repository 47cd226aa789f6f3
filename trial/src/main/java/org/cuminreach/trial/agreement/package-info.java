/** Measures the time of synced saves and of submissions with all replicas in one process. */
package org.cuminreach.trial.agreement;
