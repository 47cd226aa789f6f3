/** Load generator that sends numbered calls and records the outcome of each. */
package org.cuminreach.trial.load;
