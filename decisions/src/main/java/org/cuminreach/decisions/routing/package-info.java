/** Where a call goes: its route, the version that answers it, and the target of that version. */
package org.cuminreach.decisions.routing;
