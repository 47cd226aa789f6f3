/** Replication of the log between controls, and the other messages that controls exchange. */
package org.cuminreach.control.replica;
