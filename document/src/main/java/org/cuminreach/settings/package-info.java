/** Parsing and validation of JSON with comments; one pass reports all faults with their paths. */
package org.cuminreach.settings;
