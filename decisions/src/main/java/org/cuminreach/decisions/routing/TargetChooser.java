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
    private static final double SPILLOVER_MARGIN = 0.1;

    /** Gain from which every call is sent elsewhere; below it, a share, lest all go at once. */
    private static final double FULL_SPILLOVER_GAIN = 0.25;

    /** Suspects are used again when fewer than this share of the reachable targets is left. */
    private static final double MIN_HEALTHY_SHARE = 0.5;

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
                CallRequirements.withoutObjective(mayProbe),
                dataCentre,
                LoadBalancingPolicy.forCheapLinks(),
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
            CallRequirements need,
            String dataCentre,
            LoadBalancingPolicy placement,
            long nowMillis,
            RandomGenerator random) {
        if (targets.isEmpty()) {
            return new TargetChoice.NoTarget("no_ready_target");
        }
        Candidates candidates = new Candidates(dataCentre, placement, need, nowMillis, random);
        for (int index = 0; index < targets.size(); index++) {
            TargetView target = targets.get(index);
            if (!tried.contains(target.node())) {
                candidates.add(target);
            }
        }
        return candidates.choose(!tried.isEmpty());
    }

    /** Draws of two targets from one kind of targets, each pair as likely as any other. */
    private static final class SamplePair {
        private TargetView first;
        private TargetView second;
        private int count;

        private void add(TargetView target, RandomGenerator random) {
            count++;
            if (count == 1) {
                first = target;
                return;
            }
            if (count == 2) {
                second = target;
                return;
            }
            int place = random.nextInt(count);
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
        private final LoadBalancingPolicy policy;
        private final CallRequirements requirements;
        private final long nowMillis;
        private final RandomGenerator random;
        private final SamplePair local = new SamplePair();
        private final SamplePair remote = new SamplePair();
        private final SamplePair pushedBack = new SamplePair();
        private final SamplePair suspect = new SamplePair();
        private final SamplePair unreachable = new SamplePair();
        private TargetView dueForProbe;

        private Candidates(
                String dataCentre,
                LoadBalancingPolicy placement,
                CallRequirements need,
                long nowMillis,
                RandomGenerator random) {
            this.requirements = need;
            this.policy = placement;
            this.dataCentre = dataCentre;
            this.nowMillis = nowMillis;
            this.random = random;
        }

        private void add(TargetView target) {
            switch (target.statistics().status(nowMillis)) {
                case USABLE -> {
                    boolean own = target.dataCentre().equals(dataCentre);
                    (own ? local : remote).add(target, random);
                }
                case PUSHED_BACK -> pushedBack.add(target, random);
                case SUSPECT -> suspect.add(target, random);
                case UNREACHABLE -> unreachable.add(target, random);
                case DUE_FOR_PROBE -> {
                    dueForProbe = target;
                    unreachable.add(target, random);
                }
                case DRAINING -> {
                    return;
                }
            }
        }

        private TargetChoice choose(boolean triedOthers) {
            if (dueForProbe != null
                    && (requirements.mayProbe()
                            || dueForProbe.statistics().anyCallMayProbe(nowMillis))) {
                return new TargetChoice.Chosen(dueForProbe, "probe");
            }
            int trusted = local.count + remote.count + pushedBack.count;
            if (drawsSuspect(trusted)) {
                return chooseFrom(suspect, "too_few_trusted");
            }
            if (local.count + remote.count > 0) {
                return switch (policy.spillover()) {
                    case LoadBalancingPolicy.Spillover.AboveLoad above -> localOrRemote(above);
                    case LoadBalancingPolicy.Spillover.WhenLate whenLate ->
                            localWhileOnTime(whenLate, triedOthers);
                };
            }
            if (pushedBack.count > 0) {
                return chooseFrom(pushedBack, "all_pushed_back");
            }
            if (unreachable.count > 0) {
                return chooseFrom(unreachable, "all_unreachable");
            }
            return new TargetChoice.NoTarget("no_target_left");
        }

        /** Draws a suspect in proportion to its share of the targets once too few others remain. */
        private boolean drawsSuspect(int trusted) {
            int reachable = trusted + suspect.count;
            boolean tooFew = suspect.count > 0 && trusted < MIN_HEALTHY_SHARE * reachable;
            return tooFew && random.nextInt(reachable) < suspect.count;
        }

        private TargetChoice localOrRemote(LoadBalancingPolicy.Spillover.AboveLoad spilling) {
            if (local.count == 0) {
                return chooseFrom(remote, "none_in_own_data_centre");
            }
            TargetView nearest = lessLoaded(local);
            double nearLoad = nearest.statistics().load(nowMillis);
            if (nearLoad <= spilling.load() || remote.count == 0) {
                return new TargetChoice.Chosen(nearest, "own_data_centre");
            }
            TargetView elsewhere = lessLoaded(remote);
            double gain = nearLoad - elsewhere.statistics().load(nowMillis) - SPILLOVER_MARGIN;
            return gain > random.nextDouble() * FULL_SPILLOVER_GAIN
                    ? new TargetChoice.Chosen(elsewhere, "spilled")
                    : new TargetChoice.Chosen(nearest, "own_data_centre_full");
        }

        /** Stays in the own data centre while a call is likely to be on time there. */
        private TargetChoice localWhileOnTime(
                LoadBalancingPolicy.Spillover.WhenLate spilling, boolean triedOthers) {
            double spare = Math.max(0, requirements.slackMillis());
            if (local.count > 0) {
                TargetView nearest = lessLoaded(local);
                if (waitMillis(nearest)
                        <= spilling.maxLocalWaitShare(requirements.relativeSize()) * spare) {
                    return new TargetChoice.Chosen(nearest, "own_data_centre");
                }
            }
            if (remote.count > 0) {
                TargetView elsewhere = lessLoaded(remote);
                if (waitMillis(elsewhere) <= spare) {
                    return new TargetChoice.Chosen(elsewhere, "spilled");
                }
            }
            if (triedOthers) {
                return new TargetChoice.NoTarget("all_busy");
            }
            return local.count > 0
                    ? chooseFrom(local, "own_data_centre_full")
                    : chooseFrom(remote, "none_in_own_data_centre");
        }

        private double waitMillis(TargetView target) {
            return target.statistics()
                    .expectedWaitMillis(
                            requirements.priority(), requirements.typicalRunMillis(), nowMillis);
        }

        private TargetChoice chooseFrom(SamplePair draw, String reason) {
            return new TargetChoice.Chosen(lessLoaded(draw), reason);
        }

        private TargetView lessLoaded(SamplePair draw) {
            if (draw.second == null) {
                return draw.first;
            }
            double first = draw.first.statistics().cost(nowMillis);
            double second = draw.second.statistics().cost(nowMillis);
            if (first == second) {
                return random.nextBoolean() ? draw.first : draw.second;
            }
            return first < second ? draw.first : draw.second;
        }
    }
}
