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

/** Drives one rollout from its acceptance to some time after its set time. */
final class RolloutRun {
    static final String SERVICE = "arkiv";
    private static final String OLD = "1";
    static final String NEW = "2";
    private static final int NODES = 6;
    private static final long TICK_MILLIS = 500;
    private static final long FORCE_MILLIS = 500;
    private static final long POISON_FROM_MILLIS = 20_000;
    private static final long POISON_TO_MILLIS = 80_000;
    private static final long POISON_EVERY_MILLIS = 4_000;
    private static final int POISON_ATTEMPTS = 2;

    /** A call that has ended and is not yet in the evidence. */
    private record Ended(long atMillis, int node, EvidenceKey key, FakeAnswer answer) {}

    private final Scenario scenario;
    private final RolloutPolicy policy;
    private final SplittableRandom random;
    private final FakeService service;
    private final Rollout wanted;
    private final List<VersionCircuitBreaker> guards = new ArrayList<>();
    private final PriorityQueue<Ended> running =
            new PriorityQueue<>(Comparator.comparingLong(Ended::atMillis));
    private final Map<EvidenceKey, CallCounter> counters = new HashMap<>();
    private RolloutProgress progress;
    private int shareInForce;
    private long calls;
    private long badCalls;
    private long firstBadMillis = -1;
    private long lastBadMillis = -1;
    private boolean doneInTime;
    private boolean late;

    RolloutRun(Scenario scenario, RolloutPolicy policy) {
        this.scenario = scenario;
        this.policy = policy;
        random = new SplittableRandom(scenario.randomSeed());
        service = new FakeService(scenario, random);
        wanted =
                new Rollout(
                        NEW,
                        1_000,
                        Instant.ofEpochMilli(scenario.doneByMillis()),
                        RolloutCriteria.defaultsFor(scenario.priority()));
        progress = new RolloutProgress(SERVICE, NEW, RolloutPhase.MOVING, 0, 0, 0, "accepted");
        for (int node = 0; node < NODES; node++) {
            guards.add(VersionCircuitBreaker.closed());
        }
    }

    RolloutResult run() {
        double nextCall = gap();
        for (long now = 0; now < scenario.endMillis(); now += TICK_MILLIS) {
            while (nextCall < now + TICK_MILLIS) {
                call((long) nextCall);
                nextCall += gap();
            }
            poison(now);
            tick(now + TICK_MILLIS);
        }
        boolean back = progress.phase() == RolloutPhase.TAKEN_BACK;
        OptionalLong badMillis =
                back && firstBadMillis >= 0
                        ? OptionalLong.of(lastBadMillis - firstBadMillis)
                        : OptionalLong.empty();
        return new RolloutResult(
                scenario, doneInTime && !back, back, late, badMillis, calls, badCalls);
    }

    private double gap() {
        return -Math.log(1 - random.nextDouble()) / scenario.traffic().callsPerMilli();
    }

    private void call(long millis) {
        endCalls(millis);
        if (millis - progress.steppedMillis() >= FORCE_MILLIS) {
            shareInForce = progress.sharePerMille();
        }
        int node = random.nextInt(NODES);
        boolean drawn = random.nextInt(1_000) < shareInForce;
        boolean fresh = drawn && !(policy.guarded() && guards.get(node).isOpen(millis));
        int route = service.route();
        int target = random.nextInt(fresh ? service.newTargets() : FakeService.OLD_TARGETS);
        FakeAnswer answer = service.answer(fresh, route, target, shareInForce / 1_000.0, millis);
        calls++;
        if (answer.badness()) {
            badCalls++;
            firstBadMillis = firstBadMillis < 0 ? millis : firstBadMillis;
            lastBadMillis = millis;
        }
        note(millis, node, fresh, route, target, answer);
    }

    private void note(
            long millis, int node, boolean fresh, int route, int target, FakeAnswer answer) {
        EvidenceKey key =
                new EvidenceKey(
                        SERVICE,
                        fresh ? NEW : OLD,
                        "route-" + route,
                        (fresh ? "new-" : "old-") + target,
                        "data-centre-" + target % FakeService.DATA_CENTRES);
        running.add(new Ended(millis + answer.micros() / 1_000, node, key, answer));
    }

    private void endCalls(long millis) {
        while (!running.isEmpty() && running.peek().atMillis() <= millis) {
            Ended ended = running.poll();
            FakeAnswer answer = ended.answer();
            counters.computeIfAbsent(ended.key(), key -> CallCounter.zero())
                    .record(answer.result(), answer.micros());
            VersionCircuitBreaker guard = guards.get(ended.node());
            if (ended.key().version().equals(NEW)) {
                guard.recordNewVersionCall(
                        ended.key().target(),
                        answer.result(),
                        answer.micros(),
                        service.newTargets(),
                        ended.atMillis());
            } else {
                guard.recordOldVersionCall(answer.result(), answer.micros());
            }
        }
    }

    private void poison(long now) {
        boolean comes =
                scenario.kind() == VersionKind.GOOD_POISONOUS_REQUEST
                        && now >= POISON_FROM_MILLIS
                        && now < POISON_TO_MILLIS
                        && now % POISON_EVERY_MILLIS == 0;
        for (int attempt = 0; comes && attempt < POISON_ATTEMPTS; attempt++) {
            boolean fresh = random.nextInt(1_000) < shareInForce;
            int target = random.nextInt(fresh ? service.newTargets() : FakeService.OLD_TARGETS);
            note(now, random.nextInt(NODES), fresh, 0, target, service.poison(fresh, target, now));
        }
    }

    private void tick(long now) {
        endCalls(now);
        List<Evidence> evidence = new ArrayList<>();
        counters.forEach(
                (key, counter) ->
                        evidence.add(new Evidence(key, counter.counts(), TICK_MILLIS, false)));
        counters.clear();
        policy.add(evidence, now);
        if (now - progress.steppedMillis() < FORCE_MILLIS && progress.sharePerMille() > 0) {
            return;
        }
        switch (policy.judge(wanted, progress, now)) {
            case Verdict.Wait wait -> {}
            case Verdict.Advance advance -> step(progress.phase(), advance.sharePerMille(), now);
            case Verdict.Done done -> {
                step(RolloutPhase.DONE, progress.sharePerMille(), now);
                doneInTime = now <= scenario.doneByMillis();
            }
            case Verdict.RollBack back -> step(RolloutPhase.TAKEN_BACK, 0, now);
            case Verdict.Late reported -> {
                late = true;
                step(RolloutPhase.LATE, progress.sharePerMille(), now);
            }
        }
    }

    private void step(RolloutPhase phase, int share, long now) {
        progress = new RolloutProgress(SERVICE, NEW, phase, share, 0, now, "");
    }
}
