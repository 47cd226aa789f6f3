/** The judge of rollouts: how much traffic a new version gets, and when it is taken back. */
package org.cuminreach.decisions.rollout;
