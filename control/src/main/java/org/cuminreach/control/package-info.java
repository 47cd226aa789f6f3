/** The control process: replicated, durable configuration and its distribution to nodes. */
package org.cuminreach.control;
