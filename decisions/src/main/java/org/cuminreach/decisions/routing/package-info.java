/** Routing of calls: the choice of a route, a version of its service, and a target. */
package org.cuminreach.decisions.routing;
