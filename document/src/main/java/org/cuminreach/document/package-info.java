/**
 * The operators' mesh document: services, versions, routes and rollouts, read and validated whole.
 */
package org.cuminreach.document;
