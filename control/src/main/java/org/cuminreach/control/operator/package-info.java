/** Operators as peers: their HTTP interface. */
package org.cuminreach.control.operator;
