/** Frames over TCP: a length prefix of 4 bytes and a Thrift struct in the compact protocol. */
package org.cuminreach.wire.frame;
