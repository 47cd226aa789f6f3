/** The control process: agreed, durable configuration and its distribution to nodes. */
package org.cuminreach.control;
