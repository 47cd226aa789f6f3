/** Retry and hedging policies, and the three possible outcomes of an attempt at a call. */
package org.cuminreach.decisions.retry;
