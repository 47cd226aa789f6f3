/** Logging configuration: one line per event, as key=value text or as JSON. */
package org.cuminreach.runtime.log;
