/** The node's own target as a peer: guarding it, announcing it, draining it. */
package org.cuminreach.node.target;
