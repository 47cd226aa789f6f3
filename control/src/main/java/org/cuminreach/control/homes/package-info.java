/** Reports of home regions that cannot be served. */
package org.cuminreach.control.homes;
