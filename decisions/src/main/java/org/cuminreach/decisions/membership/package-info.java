/**
 * Which targets there are. Targets announce themselves through the node beside them; announcements
 * are merged so that updates which cross each other cannot reorder.
 */
package org.cuminreach.decisions.membership;
