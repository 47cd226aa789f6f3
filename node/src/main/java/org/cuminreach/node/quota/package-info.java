/** Quotas of tenants at a node: asks the control for tokens for their calls. */
package org.cuminreach.node.quota;
