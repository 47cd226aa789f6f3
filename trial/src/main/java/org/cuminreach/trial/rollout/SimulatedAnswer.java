package org.cuminreach.trial.rollout;

import org.cuminreach.decisions.rollout.CallResult;

/** What the fake answers; badness is that of the new version itself. */
record SimulatedAnswer(CallResult result, long micros, boolean regression) {}
