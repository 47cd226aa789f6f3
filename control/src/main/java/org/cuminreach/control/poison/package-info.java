/** Passes on which requests lose their targets, between nodes and controls. */
package org.cuminreach.control.poison;
