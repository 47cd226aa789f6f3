/** Checks the API keys of callers and keeps the proof that the configuration is current. */
package org.cuminreach.node.tenant;
