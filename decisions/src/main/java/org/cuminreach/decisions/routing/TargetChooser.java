package org.cuminreach.decisions.routing;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses a target: the less loaded of two random ones of the chooser's own data centre, or of two
 * elsewhere. Where crossings are cheap, calls go elsewhere once they would have to wait in the own
 * data centre; where they are dear, once they would wait so long that they may be late.
 */
public final class TargetChooser {
    /** By how much a target elsewhere must be less loaded, for the way there. */
    private static final double SPILL_MARGIN = 0.1;

    /** Gain from which every call is sent elsewhere; below it, a share, lest all go at once. */
    private static final double SPILL_ALL_GAIN = 0.25;

    /** Suspects are used again when fewer than this share of the reachable targets is left. */
    private static final double LEAST_TRUSTED_SHARE = 0.5;

    private TargetChooser() {}

    /**
     * Chooses a target.
     *
     * @param targets the ready targets of the version
     * @param tried nodes that this call was sent to already
     * @param mayProbe true when the call may run again if it is lost, so that it may be sent to a
     *     target in doubt
     * @param dataCentre data centre of the chooser
     * @param nowMillis present time
     * @param random source of the draws
     * @return the target and the reason
     */
    public static TargetChoice choose(
            List<TargetView> targets,
            Set<String> tried,
            boolean mayProbe,
            String dataCentre,
            long nowMillis,
            RandomGenerator random) {
        return choose(
                targets,
                tried,
                CallNeed.ofAny(mayProbe),
                dataCentre,
                Placement.cheapCrossing(),
                nowMillis,
                random);
    }

    /**
     * Chooses a target under a placement of its own.
     *
     * @param targets the ready targets of a version
     * @param tried names of the nodes whose targets this call has tried
     * @param need what the call needs
     * @param dataCentre the caller's data centre
     * @param placement how calls are placed
     * @param nowMillis present time
     * @param random source of the draws
     * @return the target and why, or why there is none
     */
    public static TargetChoice choose(
            List<TargetView> targets,
            Set<String> tried,
            CallNeed need,
            String dataCentre,
            Placement placement,
            long nowMillis,
            RandomGenerator random) {
        if (targets.isEmpty()) {
            return new TargetChoice.NoTarget("no_ready_target");
        }
        Candidates candidates = new Candidates(dataCentre, placement, need, nowMillis, random);
        for (int index = 0; index < targets.size(); index++) {
            TargetView target = targets.get(index);
            if (!tried.contains(target.node())) {
                candidates.offer(target);
            }
        }
        return candidates.choose(!tried.isEmpty());
    }

    /** Draws of two targets from one kind of targets, each pair as likely as any other. */
    private static final class Draw {
        private TargetView first;
        private TargetView second;
        private int offered;

        private void offer(TargetView target, RandomGenerator random) {
            offered++;
            if (offered == 1) {
                first = target;
                return;
            }
            if (offered == 2) {
                second = target;
                return;
            }
            int place = random.nextInt(offered);
            if (place == 0) {
                first = target;
            } else if (place == 1) {
                second = target;
            }
        }
    }

    /** The targets that a call may go to, by standing and data centre. */
    private static final class Candidates {
        private final String dataCentre;
        private final Placement placement;
        private final CallNeed need;
        private final long nowMillis;
        private final RandomGenerator random;
        private final Draw near = new Draw();
        private final Draw far = new Draw();
        private final Draw pushedBack = new Draw();
        private final Draw suspect = new Draw();
        private final Draw unreachable = new Draw();
        private TargetView due;

        private Candidates(
                String dataCentre,
                Placement placement,
                CallNeed need,
                long nowMillis,
                RandomGenerator random) {
            this.need = need;
            this.placement = placement;
            this.dataCentre = dataCentre;
            this.nowMillis = nowMillis;
            this.random = random;
        }

        private void offer(TargetView target) {
            switch (target.experience().standing(nowMillis)) {
                case USABLE -> {
                    boolean own = target.dataCentre().equals(dataCentre);
                    (own ? near : far).offer(target, random);
                }
                case PUSHED_BACK -> pushedBack.offer(target, random);
                case SUSPECT -> suspect.offer(target, random);
                case UNREACHABLE -> unreachable.offer(target, random);
                case DUE_FOR_PROBE -> {
                    due = target;
                    unreachable.offer(target, random);
                }
                case LEAVING -> {
                    return;
                }
            }
        }

        private TargetChoice choose(boolean triedOthers) {
            if (due != null && (need.mayProbe() || due.experience().anyCallMayProbe(nowMillis))) {
                return new TargetChoice.Chosen(due, "probe");
            }
            int trusted = near.offered + far.offered + pushedBack.offered;
            if (isTooFew(trusted)) {
                return chosen(suspect, "too_few_trusted");
            }
            if (near.offered + far.offered > 0) {
                return switch (placement.spilling()) {
                    case Placement.Spilling.AboveLoad above -> nearOrFar(above);
                    case Placement.Spilling.WhenLate whenLate ->
                            nearWhileOnTime(whenLate, triedOthers);
                };
            }
            if (pushedBack.offered > 0) {
                return chosen(pushedBack, "all_pushed_back");
            }
            if (unreachable.offered > 0) {
                return chosen(unreachable, "all_unreachable");
            }
            return new TargetChoice.NoTarget("no_target_left");
        }

        /** Draws a suspect in proportion to its share of the targets once too few others remain. */
        private boolean isTooFew(int trusted) {
            int reachable = trusted + suspect.offered;
            boolean tooFew = suspect.offered > 0 && trusted < LEAST_TRUSTED_SHARE * reachable;
            return tooFew && random.nextInt(reachable) < suspect.offered;
        }

        private TargetChoice nearOrFar(Placement.Spilling.AboveLoad spilling) {
            if (near.offered == 0) {
                return chosen(far, "none_in_own_data_centre");
            }
            TargetView nearest = lesser(near);
            double nearLoad = nearest.experience().load(nowMillis);
            if (nearLoad <= spilling.load() || far.offered == 0) {
                return new TargetChoice.Chosen(nearest, "own_data_centre");
            }
            TargetView elsewhere = lesser(far);
            double gain = nearLoad - elsewhere.experience().load(nowMillis) - SPILL_MARGIN;
            return gain > random.nextDouble() * SPILL_ALL_GAIN
                    ? new TargetChoice.Chosen(elsewhere, "spilled")
                    : new TargetChoice.Chosen(nearest, "own_data_centre_full");
        }

        /** Stays in the own data centre while a call is likely to be on time there. */
        private TargetChoice nearWhileOnTime(
                Placement.Spilling.WhenLate spilling, boolean triedOthers) {
            double spare = Math.max(0, need.spareMillis());
            if (near.offered > 0) {
                TargetView nearest = lesser(near);
                if (waitMillis(nearest) <= spilling.shareToWaitNear(need.weight()) * spare) {
                    return new TargetChoice.Chosen(nearest, "own_data_centre");
                }
            }
            if (far.offered > 0) {
                TargetView elsewhere = lesser(far);
                if (waitMillis(elsewhere) <= spare) {
                    return new TargetChoice.Chosen(elsewhere, "spilled");
                }
            }
            if (triedOthers) {
                return new TargetChoice.NoTarget("all_busy");
            }
            return near.offered > 0
                    ? chosen(near, "own_data_centre_full")
                    : chosen(far, "none_in_own_data_centre");
        }

        private double waitMillis(TargetView target) {
            return target.experience()
                    .expectedWaitMillis(need.priority(), need.runMillis(), nowMillis);
        }

        private TargetChoice chosen(Draw draw, String reason) {
            return new TargetChoice.Chosen(lesser(draw), reason);
        }

        private TargetView lesser(Draw draw) {
            if (draw.second == null) {
                return draw.first;
            }
            double first = draw.first.experience().cost(nowMillis);
            double second = draw.second.experience().cost(nowMillis);
            if (first == second) {
                return random.nextBoolean() ? draw.first : draw.second;
            }
            return first < second ? draw.first : draw.second;
        }
    }
}
