/**
 * The mesh configuration: its changes by commands of the replicated log on the controls, and its
 * replacement by newer versions on the nodes.
 */
package org.cuminreach.decisions.configuration;
