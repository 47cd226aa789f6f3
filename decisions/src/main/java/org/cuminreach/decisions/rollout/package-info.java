/** Canary analysis of rollouts: the share of traffic of a new version, and its rollback. */
package org.cuminreach.decisions.rollout;
