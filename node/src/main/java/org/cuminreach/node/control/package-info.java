/** The control as a peer: the session over which configuration and targets arrive. */
package org.cuminreach.node.control;
