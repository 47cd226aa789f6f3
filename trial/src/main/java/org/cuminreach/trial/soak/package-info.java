/** Seeded soak of node processes beside targets that state limits and leave. */
package org.cuminreach.trial.soak;
