/** Settings of a node process. */
package org.cuminreach.node.settings;
