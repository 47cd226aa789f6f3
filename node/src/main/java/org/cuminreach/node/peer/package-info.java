/** Other nodes as peers: the mesh view, and calls to the targets that they guard. */
package org.cuminreach.node.peer;
