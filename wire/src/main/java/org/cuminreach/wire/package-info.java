/**
 * Conversion between the types of the decisions module and the Thrift structs that the processes of
 * cuminreach exchange.
 */
package org.cuminreach.wire;
