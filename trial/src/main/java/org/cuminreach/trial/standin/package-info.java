/** Stand-in targets with a configurable running time and failure rate. */
package org.cuminreach.trial.standin;
