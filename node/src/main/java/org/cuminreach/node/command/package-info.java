/** Subcommands of {@code cuminreach-node}. */
package org.cuminreach.node.command;
