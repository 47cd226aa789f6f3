/** Which calls a target's node lets through to its target, and in which order. */
package org.cuminreach.decisions.admission;
