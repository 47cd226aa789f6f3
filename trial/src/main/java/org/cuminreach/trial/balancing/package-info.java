/**
 * Experiments on load balancing, on fair queueing at a target, and on the latency added by nodes.
 */
package org.cuminreach.trial.balancing;
