/**
 * Decision logic of the mesh as pure code: it does no I/O, reads no clock and starts no threads.
 * The current time and the random generator are arguments, and results are values, so that a test
 * or simulation can drive each class deterministically.
 */
package org.cuminreach.decisions;
