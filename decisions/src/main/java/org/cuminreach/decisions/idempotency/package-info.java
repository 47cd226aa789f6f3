/**
 * At-most-once execution of requests with an idempotency key: which node stores a key, and whether
 * a request with a key may run. Where records may be missing, the outcome is that the request may
 * have run.
 */
package org.cuminreach.decisions.idempotency;
