/** A whole mesh of separate processes on loopback: its plan, files, processes and what it tells. */
package org.cuminreach.trial.mesh;
