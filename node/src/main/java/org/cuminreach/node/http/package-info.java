/** HTTP between nodes and targets: the client, mesh headers and answers. */
package org.cuminreach.node.http;
