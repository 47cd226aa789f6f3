/** Evacuations of data centres: orders of operators, and their reports in log and metrics. */
package org.cuminreach.control.evacuation;
