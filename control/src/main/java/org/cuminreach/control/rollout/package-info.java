/** Rollouts: the judge at work on the leader. */
package org.cuminreach.control.rollout;
