/** HTTP/1.1 server on Netty that handles complete requests and answers. */
package org.cuminreach.runtime.http;
