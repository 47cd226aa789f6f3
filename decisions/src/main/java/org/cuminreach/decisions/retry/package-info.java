/** What to do after an attempt at a call: three outcomes and no other, and when to try again. */
package org.cuminreach.decisions.retry;
