/**
 * Pure decisions: no input or output, no clock, no threads, no hidden randomness. The present time
 * and the random generator are arguments; inputs and outcomes are values. A foreign harness can
 * drive any of them by supplying time, messages and randomness and reading what comes back.
 */
package org.cuminreach.decisions;
