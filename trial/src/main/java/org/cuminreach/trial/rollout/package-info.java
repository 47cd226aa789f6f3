/**
 * Simulated rollouts that compare the sequential rollout judge and the version circuit breakers of
 * the nodes with a baseline of fixed steps and thresholds.
 */
package org.cuminreach.trial.rollout;
