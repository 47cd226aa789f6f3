/** A mesh of separate processes on loopback: its plan, files, processes and status. */
package org.cuminreach.trial.mesh;
