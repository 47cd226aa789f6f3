/** Nodes as peers: their sessions, and what they are told. */
package org.cuminreach.control.node;
