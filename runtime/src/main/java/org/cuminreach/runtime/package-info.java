/** Event loops and clocks of the processes; the subpackages hold further shared infrastructure. */
package org.cuminreach.runtime;
