/** The target next to the node: admission control, calls, announcements and draining. */
package org.cuminreach.node.target;
