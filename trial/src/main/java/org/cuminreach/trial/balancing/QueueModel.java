package org.cuminreach.trial.balancing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.decisions.retry.CallProgress;
import org.cuminreach.decisions.retry.RetryDecision;
import org.cuminreach.decisions.retry.RetryPolicy;
import org.cuminreach.decisions.routing.TargetCallResult;
import org.cuminreach.decisions.routing.TargetStatistics;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.document.Route;

/**
 * A discrete-event queueing model of one service. Nodes choose targets and targets admit calls with
 * the production decision code; time, network and targets are simulated.
 */
final class QueueModel {
    private static final double MICROS_PER_MILLI = 1_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long FAULT_START_MICROS = 3 * SECOND_MICROS;
    private static final long END_MICROS = 13 * SECOND_MICROS;
    private static final double MEAN_SERVICE_MILLIS = 5;
    private static final double LOCAL_ONE_WAY_MILLIS = 0.1;
    private static final double REMOTE_ONE_WAY_MILLIS = 0.5;
    private static final double REFUSED_CONNECTION_MILLIS = 0.2;
    private static final double CONNECT_TIMEOUT_MILLIS = 500;
    private static final double TIMER_INTERVAL_MILLIS = 20;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final int CALLERS = 20;

    private final SimulatedClock clock = new SimulatedClock();
    private final Random random;
    private final ModelScenario scenario;
    private final ChoicePolicy policy;
    private final List<ModelTarget> targets = new ArrayList<>();
    private final List<ModelNode> nodes = new ArrayList<>();
    private final ModelStatistics statistics = new ModelStatistics();
    private int calls;

    private QueueModel(ModelScenario scenario, ChoicePolicy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        this.random = new Random(seed);
    }

    static ModelStatistics run(ModelScenario scenario, ChoicePolicy policy, long seed) {
        QueueModel model = new QueueModel(scenario, policy, seed);
        model.build();
        model.clock.schedule(0, model::arrive);
        model.clock.schedule(TIMER_INTERVAL_MILLIS, model::onTimer);
        model.clock.runUntil(FAULT_START_MICROS);
        model.injectFault();
        model.clock.runUntil(END_MICROS);
        return model.statistics;
    }

    private void build() {
        for (int index = 0; index < scenario.targets(); index++) {
            String dataCentre = "dc-" + index % scenario.dataCentres();
            targets.add(new ModelTarget("t" + index, dataCentre, scenario.slots(), clock, random));
            nodes.add(new ModelNode(dataCentre));
        }
        int initialTargets =
                scenario.fault() == TargetFault.COLD ? targets.size() - 1 : targets.size();
        for (ModelNode node : nodes) {
            for (ModelTarget target : targets.subList(0, initialTargets)) {
                node.addTarget(target, TargetStatistics.warm(target.slots()));
            }
        }
    }

    private void injectFault() {
        statistics.startCounting();
        int last = targets.size() - 1;
        for (int index = 0; index < targets.size(); index++) {
            boolean affected =
                    switch (scenario.scope()) {
                        case LAST_TARGET -> index == last;
                        case LAST_DATA_CENTRE ->
                                index % scenario.dataCentres() == scenario.dataCentres() - 1;
                        case ALL -> true;
                    };
            if (affected) {
                targets.get(index).setFault(scenario.fault());
            }
        }
        if (scenario.fault() == TargetFault.COLD) {
            ModelTarget cold = targets.get(last);
            nodes.forEach(
                    node ->
                            node.addTarget(
                                    cold, TargetStatistics.cold(cold.slots(), clock.nowMillis())));
        }
        if (scenario.scope() == ModelScenario.FaultScope.LAST_DATA_CENTRE) {
            String lostDataCentre = "dc-" + (scenario.dataCentres() - 1);
            nodes.removeIf(node -> node.dataCentre().equals(lostDataCentre));
        }
    }

    private void onTimer() {
        targets.forEach(ModelTarget::onTimer);
        clock.schedule(TIMER_INTERVAL_MILLIS, this::onTimer);
    }

    private void arrive() {
        double slots = (double) scenario.targets() * scenario.slots();
        double meanIntervalMillis = MEAN_SERVICE_MILLIS / (slots * scenario.load());
        clock.schedule(-meanIntervalMillis * Math.log(1 - random.nextDouble()), this::arrive);
        boolean skewed = random.nextDouble() < scenario.skew();
        ModelNode node = nodes.get(skewed ? 0 : random.nextInt(nodes.size()));
        node.retryBudget().deposit();
        calls++;
        Caller caller = new Caller("10.0.0." + calls % CALLERS, "");
        attempt(new ModelCall(node, caller, clock.nowMicros(), new HashSet<>()));
    }

    private void attempt(ModelCall call) {
        Optional<TargetView> choice =
                policy.choose(call.node(), call.triedTargets(), clock.nowMillis(), random);
        if (choice.isEmpty()) {
            statistics.recordRefused();
            return;
        }
        TargetView view = choice.get();
        call.triedTargets().add(view.node());
        view.statistics().recordSent(clock.nowMillis());
        ModelTarget target = targets.get(Integer.parseInt(view.node().substring(1)));
        boolean local = view.dataCentre().equals(call.node().dataCentre());
        statistics.recordSent(local);
        double oneWayMillis = local ? LOCAL_ONE_WAY_MILLIS : REMOTE_ONE_WAY_MILLIS;
        long sentMicros = clock.nowMicros();
        switch (target.fault()) {
            case DEAD ->
                    clock.schedule(
                            REFUSED_CONNECTION_MILLIS,
                            () -> end(call, view, TargetCallResult.UNREACHABLE, sentMicros));
            case UNRESPONSIVE ->
                    clock.schedule(
                            CONNECT_TIMEOUT_MILLIS,
                            () -> end(call, view, TargetCallResult.UNREACHABLE, sentMicros));
            default ->
                    clock.schedule(
                            oneWayMillis,
                            () ->
                                    target.arrive(
                                            call.caller(),
                                            call.deadlineMillis(CALL_TIMEOUT_MILLIS),
                                            result ->
                                                    returnAnswer(
                                                            call,
                                                            target,
                                                            view,
                                                            result,
                                                            oneWayMillis,
                                                            sentMicros)));
        }
    }

    private void returnAnswer(
            ModelCall call,
            ModelTarget target,
            TargetView view,
            TargetCallResult result,
            double oneWayMillis,
            long sentMicros) {
        var report = target.report();
        clock.schedule(
                oneWayMillis,
                () -> {
                    end(call, view, result, sentMicros);
                    if (result != TargetCallResult.LOST) {
                        view.statistics().recordLoadReport(report, clock.nowMillis());
                    }
                });
    }

    private void end(ModelCall call, TargetView view, TargetCallResult result, long sentMicros) {
        view.statistics()
                .recordResult(
                        result,
                        (clock.nowMicros() - sentMicros) / MICROS_PER_MILLI,
                        clock.nowMillis());
        AttemptOutcome outcome =
                switch (result) {
                    case SUCCEEDED -> {
                        call.node()
                                .recordLatency(view.node(), call.elapsedMillis(clock.nowMicros()));
                        yield new AttemptOutcome.Answered(200);
                    }
                    case FAILED -> new AttemptOutcome.Answered(500);
                    case SHED, BODY_REFUSED -> new AttemptOutcome.NotRun("shed", 1);
                    case UNREACHABLE -> new AttemptOutcome.NotRun("cannot_connect", 0);
                    case LOST -> new AttemptOutcome.MayHaveRun("lost");
                };
        long remainingMillis = call.deadlineMillis(CALL_TIMEOUT_MILLIS) - clock.nowMillis();
        CallProgress progress =
                new CallProgress(
                        true,
                        false,
                        call.triedTargets().size(),
                        remainingMillis,
                        Route.DEFAULT_MAX_ATTEMPTS,
                        0,
                        false);
        RetryDecision decision =
                RetryPolicy.decide(outcome, progress, call.node().retryBudget(), random);
        switch (decision) {
            case RetryDecision.Retry retry ->
                    clock.schedule(retry.delayMillis(), () -> attempt(call));
            case RetryDecision.GiveUp giveUp -> statistics.recordGivenUp(giveUp.outcome());
            case RetryDecision.Answer answered ->
                    statistics.recordAnswer(
                            result == TargetCallResult.SUCCEEDED,
                            call.elapsedMicros(clock.nowMicros()));
        }
    }
}
