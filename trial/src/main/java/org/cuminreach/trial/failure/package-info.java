/**
 * A trial that injects several failures at once into a mesh of separate processes and checks the
 * result.
 */
package org.cuminreach.trial.failure;
