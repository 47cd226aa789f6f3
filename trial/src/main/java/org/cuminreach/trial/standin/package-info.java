/** Stand-in targets that behave well or badly as told. */
package org.cuminreach.trial.standin;
