/** Sessions of the nodes with this control, and the updates sent to them. */
package org.cuminreach.control.node;
