/**
 * Quotas of tenants at a control: grants tokens to its nodes and borrows them from other controls.
 */
package org.cuminreach.control.quota;
