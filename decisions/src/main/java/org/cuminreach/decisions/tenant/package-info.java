/** Tenants of calls: their API keys, their priorities, and for how long a key counts as proven. */
package org.cuminreach.decisions.tenant;
