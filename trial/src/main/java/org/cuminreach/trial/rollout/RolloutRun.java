package org.cuminreach.trial.rollout;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.CallCounter;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.EvidenceKey;
import org.cuminreach.decisions.rollout.Verdict;
import org.cuminreach.decisions.rollout.VersionCircuitBreaker;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.RolloutCriteria;

/** Simulates one rollout from its acceptance until some time after its deadline. */
final class RolloutRun {
    static final String SERVICE = "arkiv";
    private static final String OLD_VERSION = "1";
    static final String NEW_VERSION = "2";
    private static final int NODES = 6;
    private static final long JUDGE_INTERVAL_MILLIS = 500;
    private static final long SHARE_PROPAGATION_MILLIS = 500;
    private static final long POISON_FROM_MILLIS = 20_000;
    private static final long POISON_TO_MILLIS = 80_000;
    private static final long POISON_INTERVAL_MILLIS = 4_000;
    private static final int POISON_ATTEMPTS = 2;

    /** A call that is recorded in the evidence at its time of completion. */
    private record CompletedCall(
            long atMillis, int node, EvidenceKey key, SimulatedAnswer answer) {}

    private final Scenario scenario;
    private final RolloutPolicy policy;
    private final SplittableRandom random;
    private final SimulatedService service;
    private final Rollout wanted;
    private final List<VersionCircuitBreaker> circuitBreakers = new ArrayList<>();
    private final PriorityQueue<CompletedCall> running =
            new PriorityQueue<>(Comparator.comparingLong(CompletedCall::atMillis));
    private final Map<EvidenceKey, CallCounter> counters = new HashMap<>();
    private RolloutProgress progress;
    private int effectiveSharePerMille;
    private long calls;
    private long regressionCalls;
    private long firstRegressionMillis = -1;
    private long lastRegressionMillis = -1;
    private boolean doneInTime;
    private boolean reportedLate;

    RolloutRun(Scenario scenario, RolloutPolicy policy) {
        this.scenario = scenario;
        this.policy = policy;
        random = new SplittableRandom(scenario.randomSeed());
        service = new SimulatedService(scenario, random);
        wanted =
                new Rollout(
                        NEW_VERSION,
                        1_000,
                        Instant.ofEpochMilli(scenario.deadlineMillis()),
                        RolloutCriteria.defaultsFor(scenario.priority()));
        progress =
                new RolloutProgress(SERVICE, NEW_VERSION, RolloutPhase.MOVING, 0, 0, 0, "accepted");
        for (int node = 0; node < NODES; node++) {
            circuitBreakers.add(VersionCircuitBreaker.closed());
        }
    }

    RolloutResult run() {
        double nextCall = nextArrivalGapMillis();
        for (long now = 0; now < scenario.endMillis(); now += JUDGE_INTERVAL_MILLIS) {
            while (nextCall < now + JUDGE_INTERVAL_MILLIS) {
                call((long) nextCall);
                nextCall += nextArrivalGapMillis();
            }
            sendPoisonRequest(now);
            judge(now + JUDGE_INTERVAL_MILLIS);
        }
        boolean rolledBack = progress.phase() == RolloutPhase.TAKEN_BACK;
        OptionalLong regressionMillis =
                rolledBack && firstRegressionMillis >= 0
                        ? OptionalLong.of(lastRegressionMillis - firstRegressionMillis)
                        : OptionalLong.empty();
        return new RolloutResult(
                scenario,
                doneInTime && !rolledBack,
                rolledBack,
                reportedLate,
                regressionMillis,
                calls,
                regressionCalls);
    }

    private double nextArrivalGapMillis() {
        return -Math.log(1 - random.nextDouble()) / scenario.traffic().callsPerMilli();
    }

    private void call(long millis) {
        recordCompletedCalls(millis);
        if (millis - progress.steppedMillis() >= SHARE_PROPAGATION_MILLIS) {
            effectiveSharePerMille = progress.sharePerMille();
        }
        int node = random.nextInt(NODES);
        boolean selected = random.nextInt(1_000) < effectiveSharePerMille;
        boolean toNewVersion =
                selected
                        && !(policy.usesCircuitBreakers()
                                && circuitBreakers.get(node).isOpen(millis));
        int route = service.nextRoute();
        int target =
                random.nextInt(toNewVersion ? service.newTargets() : SimulatedService.OLD_TARGETS);
        SimulatedAnswer answer =
                service.answer(
                        toNewVersion, route, target, effectiveSharePerMille / 1_000.0, millis);
        calls++;
        if (answer.regression()) {
            regressionCalls++;
            firstRegressionMillis = firstRegressionMillis < 0 ? millis : firstRegressionMillis;
            lastRegressionMillis = millis;
        }
        addRunningCall(millis, node, toNewVersion, route, target, answer);
    }

    private void addRunningCall(
            long millis,
            int node,
            boolean toNewVersion,
            int route,
            int target,
            SimulatedAnswer answer) {
        EvidenceKey key =
                new EvidenceKey(
                        SERVICE,
                        toNewVersion ? NEW_VERSION : OLD_VERSION,
                        "route-" + route,
                        (toNewVersion ? "new-" : "old-") + target,
                        "data-centre-" + target % SimulatedService.DATA_CENTRES);
        running.add(new CompletedCall(millis + answer.micros() / 1_000, node, key, answer));
    }

    private void recordCompletedCalls(long millis) {
        while (!running.isEmpty() && running.peek().atMillis() <= millis) {
            CompletedCall call = running.poll();
            SimulatedAnswer answer = call.answer();
            counters.computeIfAbsent(call.key(), key -> CallCounter.zero())
                    .record(answer.result(), answer.micros());
            VersionCircuitBreaker circuitBreaker = circuitBreakers.get(call.node());
            if (call.key().version().equals(NEW_VERSION)) {
                circuitBreaker.recordNewVersionCall(
                        call.key().target(),
                        answer.result(),
                        answer.micros(),
                        service.newTargets(),
                        call.atMillis());
            } else {
                circuitBreaker.recordOldVersionCall(answer.result(), answer.micros());
            }
        }
    }

    private void sendPoisonRequest(long now) {
        boolean due =
                scenario.kind() == VersionKind.GOOD_POISONOUS_REQUEST
                        && now >= POISON_FROM_MILLIS
                        && now < POISON_TO_MILLIS
                        && now % POISON_INTERVAL_MILLIS == 0;
        for (int attempt = 0; due && attempt < POISON_ATTEMPTS; attempt++) {
            boolean toNewVersion = random.nextInt(1_000) < effectiveSharePerMille;
            int target =
                    random.nextInt(
                            toNewVersion ? service.newTargets() : SimulatedService.OLD_TARGETS);
            addRunningCall(
                    now,
                    random.nextInt(NODES),
                    toNewVersion,
                    0,
                    target,
                    service.answerPoisonRequest(toNewVersion, target, now));
        }
    }

    private void judge(long now) {
        recordCompletedCalls(now);
        List<Evidence> evidence = new ArrayList<>();
        counters.forEach(
                (key, counter) ->
                        evidence.add(
                                new Evidence(key, counter.counts(), JUDGE_INTERVAL_MILLIS, false)));
        counters.clear();
        policy.add(evidence, now);
        if (now - progress.steppedMillis() < SHARE_PROPAGATION_MILLIS
                && progress.sharePerMille() > 0) {
            return;
        }
        switch (policy.judge(wanted, progress, now)) {
            case Verdict.Wait wait -> {}
            case Verdict.Advance advance -> step(progress.phase(), advance.sharePerMille(), now);
            case Verdict.Done done -> {
                step(RolloutPhase.DONE, progress.sharePerMille(), now);
                doneInTime = now <= scenario.deadlineMillis();
            }
            case Verdict.RollBack rollBack -> step(RolloutPhase.TAKEN_BACK, 0, now);
            case Verdict.Late ignored -> {
                reportedLate = true;
                step(RolloutPhase.LATE, progress.sharePerMille(), now);
            }
        }
    }

    private void step(RolloutPhase phase, int share, long now) {
        progress = new RolloutProgress(SERVICE, NEW_VERSION, phase, share, 0, now, "");
    }
}
