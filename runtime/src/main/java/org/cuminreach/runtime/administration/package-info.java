/** HTTP endpoints of the administration address: metrics, health, readiness and status. */
package org.cuminreach.runtime.administration;
