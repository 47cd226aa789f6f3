/** HTTP as nodes speak it: sending calls, and the headers and answers of the mesh. */
package org.cuminreach.node.http;
