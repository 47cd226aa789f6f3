/** Routes calls of callers to targets, with retries, hedging and idempotency keys. */
package org.cuminreach.node.caller;
