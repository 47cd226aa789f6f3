/**
 * Failures that come together, brought about on a mesh of separate processes, and what must hold.
 */
package org.cuminreach.trial.failure;
