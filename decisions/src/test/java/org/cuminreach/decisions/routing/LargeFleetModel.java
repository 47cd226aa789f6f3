package org.cuminreach.decisions.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cuminreach.settings.Address;

/**
 * Simulates the calls of 95 nodes to the 46 targets of one service in five data centres. Targets
 * differ in speed. A node receives a target's load only with the responses to its own calls, so
 * that most of its load reports are seconds old.
 */
final class LargeFleetModel {
    static final int NODES = 95;
    static final int TARGETS = 46;
    static final int DATA_CENTRES = 5;
    static final int SLOTS = 6;
    static final double RUN_MILLIS = 205;
    static final double OBJECTIVE_MILLIS = 640;

    private static final double[] SPEEDS = {0.6, 1.0, 1.4};
    private static final double WORK_VARIATION = 0.8;
    private static final double SLOW_CALL_SHARE = 0.01;
    private static final double SLOW_CALL_FACTOR = 5;
    private static final long DURATION_MILLIS = 30_000;
    private static final long WARM_UP_MILLIS = 5_000;

    /** Results of the calls after the warm-up. */
    record Result(int calls, int onTime, int remote, double meanMillis) {
        double onTimeShare() {
            return (double) onTime / calls;
        }

        double remoteShare() {
            return (double) remote / calls;
        }
    }

    private record Call(int node, int target, long sentMillis, double workMillis) {}

    private record Completion(double atMillis, Call call, double runMillis) {}

    private static final class Target {
        private final double speed;
        private final Deque<Call> waiting = new ArrayDeque<>();
        private int running;

        private Target(double speed) {
            this.speed = speed;
        }
    }

    private final Random random;
    private final LoadBalancingPolicy policy;
    private final double callsPerMilli;
    private final List<Target> targets = new ArrayList<>();
    private final List<List<TargetView>> views = new ArrayList<>();
    private final PriorityQueue<Completion> completions =
            new PriorityQueue<>(Comparator.comparingDouble(Completion::atMillis));
    private int calls;
    private int onTime;
    private int remote;
    private double totalMillis;

    private LargeFleetModel(LoadBalancingPolicy policy, double callsPerSecond, long seed) {
        this.random = new Random(seed);
        this.policy = policy;
        this.callsPerMilli = callsPerSecond / 1_000;
        for (int target = 0; target < TARGETS; target++) {
            targets.add(new Target(SPEEDS[random.nextInt(SPEEDS.length)]));
        }
        for (int node = 0; node < NODES; node++) {
            List<TargetView> nodeViews = new ArrayList<>();
            for (int target = 0; target < TARGETS; target++) {
                nodeViews.add(view(target));
            }
            views.add(nodeViews);
        }
    }

    static Result run(LoadBalancingPolicy policy, double callsPerSecond, long seed) {
        return new LargeFleetModel(policy, callsPerSecond, seed).run();
    }

    private TargetView view(int target) {
        return new TargetView(
                "node-" + target,
                "start-" + target,
                dataCentre(target),
                new Address("127.0.0.1", 1),
                SLOTS,
                TargetStatistics.cold(SLOTS, policy, -DURATION_MILLIS));
    }

    private static String dataCentre(int index) {
        return "data-centre-" + index % DATA_CENTRES;
    }

    private Result run() {
        double now = 0;
        while (now < DURATION_MILLIS) {
            now -= Math.log(1 - random.nextDouble()) / callsPerMilli;
            completeUntil(now);
            arrive((long) now);
        }
        completeUntil(Double.MAX_VALUE);
        return new Result(calls, onTime, remote, totalMillis / calls);
    }

    private void arrive(long nowMillis) {
        int node = random.nextInt(NODES);
        CallRequirements requirements =
                new CallRequirements(true, 0, RUN_MILLIS, OBJECTIVE_MILLIS - 1.5 * RUN_MILLIS, 1);
        TargetChoice choice =
                TargetChooser.choose(
                        views.get(node),
                        Set.of(),
                        requirements,
                        dataCentre(node),
                        policy,
                        nowMillis,
                        random);
        if (choice instanceof TargetChoice.Chosen chosen) {
            int index = Integer.parseInt(chosen.target().node().substring("node-".length()));
            chosen.target().statistics().recordSent(nowMillis);
            Call call = new Call(node, index, nowMillis, workMillis());
            Target target = targets.get(index);
            if (target.running < SLOTS) {
                start(call, nowMillis);
            } else {
                target.waiting.add(call);
            }
        }
    }

    private double workMillis() {
        double deviation = Math.sqrt(Math.log(1 + WORK_VARIATION * WORK_VARIATION));
        double factor = Math.exp(deviation * random.nextGaussian() - deviation * deviation / 2);
        return RUN_MILLIS * factor * (random.nextDouble() < SLOW_CALL_SHARE ? SLOW_CALL_FACTOR : 1);
    }

    private void start(Call call, double nowMillis) {
        Target target = targets.get(call.target());
        target.running++;
        double runMillis = call.workMillis() / target.speed;
        completions.add(new Completion(nowMillis + runMillis, call, runMillis));
    }

    private void completeUntil(double nowMillis) {
        while (!completions.isEmpty() && completions.peek().atMillis() <= nowMillis) {
            complete(completions.poll());
        }
    }

    private void complete(Completion completion) {
        Call call = completion.call();
        Target target = targets.get(call.target());
        target.running--;
        if (!target.waiting.isEmpty()) {
            start(target.waiting.poll(), completion.atMillis());
        }
        long nowMillis = (long) completion.atMillis();
        TargetStatistics statistics = views.get(call.node()).get(call.target()).statistics();
        statistics.recordResult(
                TargetCallResult.SUCCEEDED, completion.runMillis() / RUN_MILLIS, nowMillis);
        statistics.recordLoadReport(report(target, (int) completion.runMillis()), nowMillis);
        if (call.sentMillis() >= WARM_UP_MILLIS) {
            double durationMillis = completion.atMillis() - call.sentMillis();
            calls++;
            totalMillis += durationMillis;
            onTime += durationMillis <= OBJECTIVE_MILLIS ? 1 : 0;
            remote += dataCentre(call.node()).equals(dataCentre(call.target())) ? 0 : 1;
        }
    }

    private static LoadReport report(Target target, int ranMillis) {
        int waiting = target.waiting.size();
        List<Integer> waits =
                waiting == 0
                        ? List.of()
                        : List.of((int) (waiting * RUN_MILLIS / target.speed / SLOTS));
        return new LoadReport(target.running, waiting, SLOTS, false, ranMillis, waits);
    }
}
