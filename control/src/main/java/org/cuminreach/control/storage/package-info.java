/** The data folder, which holds all persistent data of a control. */
package org.cuminreach.control.storage;
