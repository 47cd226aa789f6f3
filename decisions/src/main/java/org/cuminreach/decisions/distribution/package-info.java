/**
 * Distribution from controls to many nodes: admission of reconnecting nodes, balancing of sessions
 * over the controls, reaction to a loss of the quorum, and the order of updates in a session.
 */
package org.cuminreach.decisions.distribution;
