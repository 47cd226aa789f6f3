/**
 * At most once for requests that are sent again: which node remembers a key, and whether a request
 * with a key may run. Where memory may be missing, the answer is that the request may have run.
 */
package org.cuminreach.decisions.idempotency;
