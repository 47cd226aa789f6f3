/** The administration address of each process: metrics, health and readiness. */
package org.cuminreach.runtime.administration;
