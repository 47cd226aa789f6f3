/** The data folder: the only place where a control keeps anything. */
package org.cuminreach.control.storage;
