/** Set-up of logs: one line an event, as key=value text or as JSON lines. */
package org.cuminreach.runtime.log;
