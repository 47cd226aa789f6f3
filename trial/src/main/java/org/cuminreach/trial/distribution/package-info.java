/** Measures how configurations and changes of targets reach many nodes. */
package org.cuminreach.trial.distribution;
