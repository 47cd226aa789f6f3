/** HTTP/1.1 served by Netty: whole requests in, whole answers out. */
package org.cuminreach.runtime.http;
