/** Control of canary rollouts on the leader, and reports of their progress. */
package org.cuminreach.control.rollout;
