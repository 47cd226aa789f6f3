/** The HTTP interface for operators. */
package org.cuminreach.control.operator;
