/** Measures how configuration changes and target announcements are distributed to many nodes. */
package org.cuminreach.trial.distribution;
