package org.cuminreach.decisions.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.function.LongPredicate;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.AdmissionRequest;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.admission.ColdLimit;
import org.cuminreach.decisions.admission.FairQueue;
import org.cuminreach.settings.Address;

/** Simulates callers in several data centres whose targets start, recover or turn cold. */
final class StartingFleet {
    static final int SLOTS = 13;
    static final double WORK_MILLIS = 270;
    static final long OBJECTIVE_MILLIS = 750;
    private static final long DEADLINE_MILLIS = 1_800;
    private static final int MAX_TRIES = 3;
    private static final double SECOND_MILLIS = 1_000;

    /** Results of all calls that arrived in the time that counts. */
    static final class Counts {
        int onTime;
        int late;
        int refused;
        int lost;

        @Override
        public String toString() {
            return "onTime=%d late=%d refused=%d lost=%d".formatted(onTime, late, refused, lost);
        }
    }

    /** A target with the node beside it. */
    static final class Target {
        final String name;
        final String dataCentre;
        final FairQueue<Call> queue = FairQueue.ofSlots(SLOTS);
        final List<Long> starts = new ArrayList<>();
        DoubleUnaryOperator slownessAt = now -> 1;
        LongPredicate answersAt = now -> true;
        long readyMillis;
        long coldUntilMillis = Long.MIN_VALUE;
        Optional<ColdLimit> coldLimit = Optional.empty();

        private Target(String name, String dataCentre) {
            this.name = name;
            this.dataCentre = dataCentre;
        }

        private Optional<ColdNotice> notice(long now) {
            return now < coldUntilMillis && coldLimit.isPresent()
                    ? Optional.of(
                            new ColdNotice(coldUntilMillis - now, coldLimit.get().callsPerSecond()))
                    : Optional.empty();
        }

        /** Returns the most calls that started within one second of a stretch of time. */
        int mostStartsInSecond(long from, long to) {
            int most = 0;
            for (int first = 0; first < starts.size(); first++) {
                long begin = starts.get(first);
                int end = first;
                while (end < starts.size()
                        && starts.get(end) < Math.min(to, begin + SECOND_MILLIS)) {
                    end++;
                }
                most = begin >= from && begin < to ? Math.max(most, end - first) : most;
            }
            return most;
        }
    }

    private record Node(String dataCentre, Map<Target, TargetStatistics> statistics) {}

    private static final class Call {
        private final Node node;
        private final long arrivedMillis;
        private final Set<String> tried = new HashSet<>();
        private Target target;
        private AdmissionRequest request;
        private long startedMillis;

        private Call(Node node, long arrivedMillis) {
            this.node = node;
            this.arrivedMillis = arrivedMillis;
        }
    }

    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime == 0 ? Long.compare(order, other.order) : byTime;
        }
    }

    final List<Target> targets = new ArrayList<>();
    final Counts counts = new Counts();
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random;
    private final LoadBalancingPolicy policy;
    private long order;
    private long now;

    StartingFleet(
            List<String> dataCentres,
            int targetsEach,
            int nodesEach,
            LoadBalancingPolicy policy,
            long seed) {
        this.policy = policy;
        random = new SplittableRandom(seed);
        for (String dataCentre : dataCentres) {
            for (int index = 0; index < targetsEach; index++) {
                targets.add(new Target(dataCentre + index, dataCentre));
            }
            for (int index = 0; index < nodesEach; index++) {
                nodes.add(new Node(dataCentre, new HashMap<>()));
            }
        }
    }

    /** Plays calls; those that arrive from a time on are counted. */
    void run(double callsPerSecond, long countedFrom, long to) {
        for (now = 0; now < to + DEADLINE_MILLIS; now++) {
            while (!events.isEmpty() && events.peek().atMillis() <= now) {
                events.poll().action().run();
            }
            targets.forEach(this::onTimer);
            if (now < to && random.nextDouble() < callsPerSecond / SECOND_MILLIS) {
                route(new Call(nodes.get(random.nextInt(nodes.size())), now), countedFrom);
            }
        }
    }

    private void onTimer(Target target) {
        if (now == target.readyMillis && now > 0) {
            for (Node node : nodes) {
                TargetStatistics statistics = TargetStatistics.cold(SLOTS, policy, now);
                statistics.recordCold(target.notice(now), now);
                node.statistics().put(target, statistics);
            }
        }
        target.queue.setColdLimit(
                target.notice(now).isPresent() ? target.coldLimit : Optional.empty(), now);
        target.queue.expire(now).forEach(refused -> refuse(refused.call(), target));
        target.queue.startWaiting(now).forEach(this::start);
    }

    private long countedFrom;

    private void route(Call call, long countedFromMillis) {
        countedFrom = countedFromMillis;
        List<TargetView> views = new ArrayList<>();
        Map<String, Target> byName = new HashMap<>();
        for (Target target : targets) {
            if (now >= target.readyMillis) {
                TargetStatistics statistics =
                        call.node
                                .statistics()
                                .computeIfAbsent(target, each -> TargetStatistics.warm(SLOTS));
                views.add(
                        new TargetView(
                                target.name,
                                "1",
                                target.dataCentre,
                                new Address("127.0.0.1", 80),
                                SLOTS,
                                statistics));
                byName.put(target.name, target);
            }
        }
        CallRequirements requirements =
                new CallRequirements(
                        true,
                        0,
                        WORK_MILLIS,
                        OBJECTIVE_MILLIS - WORK_MILLIS - (now - call.arrivedMillis),
                        1);
        TargetChoice choice =
                TargetChooser.choose(
                        views,
                        call.tried,
                        requirements,
                        call.node.dataCentre(),
                        policy,
                        now,
                        random);
        if (!(choice instanceof TargetChoice.Chosen chosen) || call.tried.size() >= MAX_TRIES) {
            count(call, () -> counts.refused++);
            return;
        }
        call.target = byName.get(chosen.target().node());
        call.tried.add(call.target.name);
        chosen.target().statistics().recordSent(now);
        offer(call);
    }

    private void offer(Call call) {
        call.request =
                new AdmissionRequest(
                        new Caller("10.0.0." + nodes.indexOf(call.node), "shop"),
                        "route",
                        0,
                        now,
                        call.arrivedMillis + OBJECTIVE_MILLIS,
                        call.arrivedMillis + DEADLINE_MILLIS,
                        WORK_MILLIS);
        AdmissionOutcome outcome = call.target.queue.offer(call, call.request, now);
        call.target.queue.takeRefused().forEach(each -> refuse(each.call(), call.target));
        switch (outcome) {
            case AdmissionOutcome.Run run -> start(call);
            case AdmissionOutcome.Refused refused -> refuse(call, call.target);
            case AdmissionOutcome.Queued queued -> {}
        }
    }

    private void start(Call call) {
        call.startedMillis = now;
        call.target.starts.add(now);
        double slowness = call.target.slownessAt.applyAsDouble(now);
        double work = WORK_MILLIS * (0.5 + random.nextDouble()) * slowness;
        long end = now + Math.round(work);
        boolean isLost = !call.target.answersAt.test(now) || !call.target.answersAt.test(end);
        long known = isLost ? Math.max(now, call.arrivedMillis + DEADLINE_MILLIS) : end;
        events.add(new Event(known, order++, () -> end(call, isLost)));
    }

    private void end(Call call, boolean isLost) {
        double run = now - call.startedMillis;
        Target target = call.target;
        target.queue.release(call.request, run, run / WORK_MILLIS, now).forEach(this::start);
        TargetStatistics statistics = call.node.statistics().get(target);
        if (isLost) {
            statistics.recordResult(TargetCallResult.LOST, run / WORK_MILLIS, now);
            count(call, () -> counts.lost++);
            return;
        }
        statistics.recordCold(target.notice(now), now);
        statistics.recordResult(TargetCallResult.SUCCEEDED, run / WORK_MILLIS, now);
        statistics.recordLoadReport(report(target, (int) run), now);
        boolean onTime = now - call.arrivedMillis <= OBJECTIVE_MILLIS;
        count(call, () -> counts.onTime += onTime ? 1 : 0);
        count(call, () -> counts.late += onTime ? 0 : 1);
    }

    private void refuse(Call call, Target target) {
        TargetStatistics statistics = call.node.statistics().get(target);
        statistics.recordCold(target.notice(now), now);
        statistics.recordResult(TargetCallResult.SHED, 0, now);
        statistics.recordLoadReport(report(target, 0), now);
        route(call, countedFrom);
    }

    private LoadReport report(Target target, int runMillis) {
        return new LoadReport(
                target.queue.running(),
                target.queue.waiting(),
                target.queue.limit(),
                false,
                runMillis,
                target.queue.hasWaits(now) ? target.queue.expectedWaitsMillis(now) : List.of());
    }

    private void count(Call call, Runnable counter) {
        if (call.arrivedMillis >= countedFrom) {
            counter.run();
        }
    }
}
