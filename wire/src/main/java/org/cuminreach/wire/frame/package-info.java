/** Frames over TCP: 4 length bytes and one Thrift struct in the compact protocol. */
package org.cuminreach.wire.frame;
