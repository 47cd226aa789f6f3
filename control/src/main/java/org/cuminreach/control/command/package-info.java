/** The commands of {@code cuminreach-control}. */
package org.cuminreach.control.command;
