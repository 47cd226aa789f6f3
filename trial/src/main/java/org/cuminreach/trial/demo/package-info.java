/** The demonstration: both users' meshes at a small size, as separate processes. */
package org.cuminreach.trial.demo;
