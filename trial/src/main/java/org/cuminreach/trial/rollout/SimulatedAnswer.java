package org.cuminreach.trial.rollout;

import org.cuminreach.decisions.rollout.CallResult;

/**
 * The simulated outcome of a call.
 *
 * @param result the result that the caller's node sees
 * @param micros running time, in microseconds
 * @param regression whether a regression of the new version affected the call
 */
record SimulatedAnswer(CallResult result, long micros, boolean regression) {}
