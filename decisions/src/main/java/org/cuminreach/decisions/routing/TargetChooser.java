package org.cuminreach.decisions.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a call by the power of two random choices: the less loaded of two random
 * targets in the local data centre, or of two in remote data centres. Where links between data
 * centres are cheap, calls spill over to remote ones once they would have to queue locally; where
 * they are costly, once they would wait so long that they may miss their latency objective.
 */
public final class TargetChooser {
    /** Load by which a remote target must be less loaded, to make up for the network latency. */
    private static final double SPILLOVER_MARGIN = 0.1;

    /**
     * Load difference from which every call spills over. Below it only a share of the calls does,
     * so that they do not all move at once.
     */
    private static final double FULL_SPILLOVER_GAIN = 0.25;

    /** Suspect targets are used when fewer than this share of the reachable ones is healthy. */
    private static final double MIN_HEALTHY_SHARE = 0.5;

    private TargetChooser() {}

    /**
     * Chooses a target for a call without objective, where links between data centres are cheap.
     *
     * @param targets the ready targets of the version
     * @param tried names of the nodes that this call was sent to already
     * @param mayProbe true when the call may run again if it is lost, so that it may probe a target
     *     that is suspect or unreachable
     * @param dataCentre data centre of the choosing node
     * @param nowMillis current time
     * @param random source of randomness
     * @return the target and the reason for it, or why there is none
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
     * Chooses a target under a given policy.
     *
     * @param targets the ready targets of the version
     * @param tried names of the nodes that this call was sent to already
     * @param requirements what the call requires of its target
     * @param dataCentre data centre of the choosing node
     * @param policy how calls are distributed
     * @param nowMillis current time
     * @param random source of randomness
     * @return the target and the reason for it, or why there is none
     */
    public static TargetChoice choose(
            List<TargetView> targets,
            Set<String> tried,
            CallRequirements requirements,
            String dataCentre,
            LoadBalancingPolicy policy,
            long nowMillis,
            RandomGenerator random) {
        if (targets.isEmpty()) {
            return new TargetChoice.NoTarget("no_ready_target");
        }
        Candidates candidates = new Candidates(dataCentre, policy, requirements, nowMillis, random);
        for (int index = 0; index < targets.size(); index++) {
            TargetView target = targets.get(index);
            if (!tried.contains(target.node())) {
                candidates.add(target);
            }
        }
        return candidates.choose(!tried.isEmpty());
    }

    /** A uniform random sample of two targets, drawn in one pass (reservoir sampling). */
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
            int position = random.nextInt(count);
            if (position == 0) {
                first = target;
            } else if (position == 1) {
                second = target;
            }
        }
    }

    /** The targets that a call may be sent to, by status and data centre. */
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
        private TargetView preferred;

        private Candidates(
                String dataCentre,
                LoadBalancingPolicy policy,
                CallRequirements requirements,
                long nowMillis,
                RandomGenerator random) {
            this.requirements = requirements;
            this.policy = policy;
            this.dataCentre = dataCentre;
            this.nowMillis = nowMillis;
            this.random = random;
        }

        private void add(TargetView target) {
            switch (target.statistics().status(nowMillis)) {
                case USABLE -> {
                    if (requirements.preferredHost().equals(Optional.of(target.inbound().host()))) {
                        preferred = target;
                    }
                    boolean isLocal = target.dataCentre().equals(dataCentre);
                    (isLocal ? local : remote).add(target, random);
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
            int healthy = local.count + remote.count + pushedBack.count;
            if (drawsSuspect(healthy)) {
                return chooseFrom(suspect, "too_few_trusted");
            }
            if (preferred != null
                    && waitMillis(preferred) <= Math.max(0, requirements.slackMillis())) {
                return new TargetChoice.Chosen(preferred, "own_vm");
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

        /**
         * Decides at random whether to use a suspect target when too few healthy ones are left, in
         * proportion to the suspects' share of the reachable targets, so that the healthy ones are
         * not overloaded.
         */
        private boolean drawsSuspect(int healthy) {
            int reachable = healthy + suspect.count;
            boolean tooFew = suspect.count > 0 && healthy < MIN_HEALTHY_SHARE * reachable;
            return tooFew && random.nextInt(reachable) < suspect.count;
        }

        private TargetChoice localOrRemote(LoadBalancingPolicy.Spillover.AboveLoad spillover) {
            if (local.count == 0) {
                return chooseFrom(remote, "none_in_own_data_centre");
            }
            TargetView localTarget = lessLoaded(local);
            double localLoad = localTarget.statistics().load(nowMillis);
            if (localLoad <= spillover.load() || remote.count == 0) {
                return new TargetChoice.Chosen(localTarget, "own_data_centre");
            }
            TargetView remoteTarget = lessLoaded(remote);
            double gain = localLoad - remoteTarget.statistics().load(nowMillis) - SPILLOVER_MARGIN;
            return gain > random.nextDouble() * FULL_SPILLOVER_GAIN
                    ? new TargetChoice.Chosen(remoteTarget, "spilled")
                    : new TargetChoice.Chosen(localTarget, "own_data_centre_full");
        }

        /** Stays in the local data centre while the call is likely to meet its objective there. */
        private TargetChoice localWhileOnTime(
                LoadBalancingPolicy.Spillover.WhenLate spillover, boolean triedOthers) {
            double slackMillis = Math.max(0, requirements.slackMillis());
            if (local.count > 0) {
                TargetView localTarget = lessLoaded(local);
                if (waitMillis(localTarget)
                        <= spillover.maxLocalWaitShare(requirements.relativeSize()) * slackMillis) {
                    return new TargetChoice.Chosen(localTarget, "own_data_centre");
                }
            }
            if (remote.count > 0) {
                TargetView remoteTarget = lessLoaded(remote);
                if (waitMillis(remoteTarget) <= slackMillis) {
                    return new TargetChoice.Chosen(remoteTarget, "spilled");
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

        private TargetChoice chooseFrom(SamplePair pair, String reason) {
            return new TargetChoice.Chosen(lessLoaded(pair), reason);
        }

        private TargetView lessLoaded(SamplePair pair) {
            if (pair.second == null) {
                return pair.first;
            }
            double first = pair.first.statistics().cost(nowMillis);
            double second = pair.second.statistics().cost(nowMillis);
            if (first == second) {
                return random.nextBoolean() ? pair.first : pair.second;
            }
            return first < second ? pair.first : pair.second;
        }
    }
}
