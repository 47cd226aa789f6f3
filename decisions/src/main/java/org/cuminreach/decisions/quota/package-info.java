/** Decisions on the quotas of tenants, which all nodes keep together. */
package org.cuminreach.decisions.quota;
