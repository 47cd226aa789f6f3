/**
 * The operators' console: pages of forms whose content becomes one document, the same one that the
 * command line submits.
 */
package org.cuminreach.control.operator.console;
