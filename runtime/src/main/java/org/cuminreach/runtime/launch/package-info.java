/** Command-line launcher of the binaries, settings options and shutdown. */
package org.cuminreach.runtime.launch;
