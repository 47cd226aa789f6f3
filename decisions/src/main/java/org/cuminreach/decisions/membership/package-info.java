/**
 * Membership of targets. Targets are announced by the node next to them; announcements are merged
 * so that the result does not depend on the order in which they arrive.
 */
package org.cuminreach.decisions.membership;
