package org.cuminreach.node.target;

import java.util.Optional;
import org.cuminreach.decisions.routing.StatedLoad;
import org.cuminreach.decisions.routing.WorkPace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Latest statement of a target on the time that work takes on its VM. Statements that cannot be
 * read are logged once for each start of the target and ignored. Not thread-safe.
 */
final class TargetPace {
    private static final Logger LOGGER = LoggerFactory.getLogger(TargetPace.class);

    private int percent;
    private long statedMillis;
    private boolean hasLoggedInvalid;

    /** Records what an answer states of the target's load. */
    void record(String instance, StatedLoad load, long nowMillis) {
        switch (load) {
            case StatedLoad.Figures figures -> {
                percent = figures.workPercent().orElse(0);
                statedMillis = nowMillis;
            }
            case StatedLoad.Unreadable unreadable -> logInvalid(instance, unreadable.text());
            case StatedLoad.Silent silent -> {}
        }
    }

    /** Forgets the statements of an earlier start of the target. */
    void reset() {
        percent = 0;
        hasLoggedInvalid = false;
    }

    /** Returns the statement with its age, or empty when there is none that still counts. */
    Optional<WorkPace> at(long nowMillis) {
        return Optional.of(new WorkPace(percent, Math.max(0, nowMillis - statedMillis)))
                .filter(pace -> percent > 0 && pace.isFresh());
    }

    private void logInvalid(String instance, String text) {
        if (!hasLoggedInvalid) {
            LOGGER.warn("event=target_load_invalid instance={} text=\"{}\"", instance, text);
            hasLoggedInvalid = true;
        }
    }
}
