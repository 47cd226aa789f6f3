/** Callers as peers: their calls for any service, routed. */
package org.cuminreach.node.caller;
