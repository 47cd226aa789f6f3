/** The launcher of the binaries and their small commands. */
package org.cuminreach.runtime.launch;
