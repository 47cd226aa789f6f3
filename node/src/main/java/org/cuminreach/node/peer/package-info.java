/** View of the targets in the mesh, with statistics of this node's calls to them. */
package org.cuminreach.node.peer;
