/** Seeded rollouts driven through the judge and the node's guard, against the plain baseline. */
package org.cuminreach.trial.rollout;
