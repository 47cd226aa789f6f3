/**
 * How controls feed many nodes: admission of reconnecting nodes, their spread over the controls,
 * what a session sends next, and when a target's lease ends.
 */
package org.cuminreach.decisions.distribution;
