/** HTTP/1.1 server on Netty that handles complete requests and answers, and codec of clients. */
package org.cuminreach.runtime.http;
