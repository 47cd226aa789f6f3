package org.cuminreach.decisions.membership;

import java.util.Optional;

/**
 * The latest word of the target beside a node. Beats may arrive late and out of order: a beat of an
 * earlier start, or an earlier beat of the present one, changes nothing. A target that leaves does
 * not come back under the same start. Not safe for use by several threads at once.
 */
public final class TargetBeats {
    private Optional<TargetBeat> latest = Optional.empty();
    private boolean left;

    private TargetBeats() {}

    /**
     * Returns the state of a node that has heard of no target.
     *
     * @return the state
     */
    public static TargetBeats none() {
        return new TargetBeats();
    }

    /**
     * Takes a beat.
     *
     * @param beat the beat
     * @return whether it is the latest word
     */
    public BeatOutcome heard(TargetBeat beat) {
        boolean known = latest.isPresent();
        if (known && beat.bornMillis() < latest.get().bornMillis()) {
            return new BeatOutcome.Outdated("an earlier start");
        }
        boolean sameStart = known && isSameStart(beat, latest.get());
        if (sameStart && beat.sequence() <= latest.get().sequence()) {
            return new BeatOutcome.Outdated("an earlier beat");
        }
        left = sameStart && left || beat.leaving();
        latest = Optional.of(beat);
        return new BeatOutcome.Taken(left ? TargetPhase.DRAINING : TargetPhase.READY);
    }

    /**
     * Notes that a target takes its leave.
     *
     * @param instance identity that it gives
     * @return whether it is the present target
     */
    public boolean left(String instance) {
        boolean present = latest.filter(beat -> beat.instance().equals(instance)).isPresent();
        left |= present;
        return present;
    }

    /**
     * Returns the latest beat.
     *
     * @return the beat, or empty when none was heard
     */
    public Optional<TargetBeat> latest() {
        return latest;
    }

    private static boolean isSameStart(TargetBeat one, TargetBeat other) {
        return one.bornMillis() == other.bornMillis() && one.instance().equals(other.instance());
    }
}
