/** The node process: the one small process beside each target. */
package org.cuminreach.node;
