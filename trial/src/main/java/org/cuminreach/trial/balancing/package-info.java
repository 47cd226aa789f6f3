/** Experiments on choosing targets, on fairness at a target, and on the time that nodes add. */
package org.cuminreach.trial.balancing;
