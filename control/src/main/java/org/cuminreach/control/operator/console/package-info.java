/**
 * The web console for operators. Its forms produce the same document that the command line submits.
 */
package org.cuminreach.control.operator.console;
