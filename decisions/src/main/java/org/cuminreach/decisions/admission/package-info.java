/**
 * Admission control at a target's node: which calls run, wait or are refused, and in which order.
 */
package org.cuminreach.decisions.admission;
