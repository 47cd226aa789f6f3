/** The node process, a sidecar that runs next to each target. */
package org.cuminreach.node;
