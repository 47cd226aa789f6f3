/** The settings of a node process. */
package org.cuminreach.node.settings;
