/**
 * Membership of targets. Targets are announced by the node beside them; announcements are merged so
 * that the result does not depend on the order in which they arrive.
 */
package org.cuminreach.decisions.membership;
