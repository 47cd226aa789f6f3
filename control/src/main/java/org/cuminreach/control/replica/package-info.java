/** The other controls as peers: the replicated log and what controls tell each other. */
package org.cuminreach.control.replica;
