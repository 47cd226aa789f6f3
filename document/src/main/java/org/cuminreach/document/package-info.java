/**
 * The operators' mesh document: services, versions, routes and rollouts, parsed and validated as a
 * unit.
 */
package org.cuminreach.document;
