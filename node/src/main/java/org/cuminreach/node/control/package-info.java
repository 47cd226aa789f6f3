/** Session with a control process, which sends configurations and announcements of targets. */
package org.cuminreach.node.control;
