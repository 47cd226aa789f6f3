/** The cost of a sync and of a submission on replicas in one process. */
package org.cuminreach.trial.agreement;
