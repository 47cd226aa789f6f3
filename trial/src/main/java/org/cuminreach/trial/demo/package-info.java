/** The demonstration: the meshes of both organisations at a small size, as separate processes. */
package org.cuminreach.trial.demo;
