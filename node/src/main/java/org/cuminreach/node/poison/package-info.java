/** Refusal of requests that crash their targets, and the exchange of their losses with controls. */
package org.cuminreach.node.poison;
