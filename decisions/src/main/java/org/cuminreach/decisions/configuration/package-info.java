/**
 * The configuration of the mesh: how commands of the replicated log change it on the controls, and
 * when a node takes over a newer one.
 */
package org.cuminreach.decisions.configuration;
