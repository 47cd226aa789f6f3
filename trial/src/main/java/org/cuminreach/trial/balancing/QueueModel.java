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
 * A queueing model of one service: calls enter at nodes, which choose targets by the decisions that
 * the node uses, and targets admit them by those as well. Time, network and targets are made up.
 */
final class QueueModel {
    private static final double MICROS_PER_MILLI = 1_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long TROUBLE_AT_MICROS = 3 * SECOND_MICROS;
    private static final long END_MICROS = 13 * SECOND_MICROS;
    private static final double MEAN_SERVICE_MILLIS = 5;
    private static final double SAME_DATA_CENTRE_MILLIS = 0.1;
    private static final double OTHER_DATA_CENTRE_MILLIS = 0.5;
    private static final double REFUSED_CONNECTION_MILLIS = 0.2;
    private static final double CONNECT_TIMEOUT_MILLIS = 500;
    private static final double TICK_MILLIS = 20;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final int CALLERS = 20;

    private final EventClock clock = new EventClock();
    private final Random random;
    private final ModelScenario scenario;
    private final ChoicePolicy policy;
    private final List<ModelTarget> targets = new ArrayList<>();
    private final List<ModelNode> nodes = new ArrayList<>();
    private final ModelTally tally = new ModelTally();
    private int calls;

    private QueueModel(ModelScenario scenario, ChoicePolicy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        this.random = new Random(seed);
    }

    static ModelTally run(ModelScenario scenario, ChoicePolicy policy, long seed) {
        QueueModel model = new QueueModel(scenario, policy, seed);
        model.build();
        model.clock.after(0, model::arrive);
        model.clock.after(TICK_MILLIS, model::tick);
        model.clock.runUntil(TROUBLE_AT_MICROS);
        model.strike();
        model.clock.runUntil(END_MICROS);
        return model.tally;
    }

    private void build() {
        for (int index = 0; index < scenario.targets(); index++) {
            String dataCentre = "dc-" + index % scenario.dataCentres();
            targets.add(new ModelTarget("t" + index, dataCentre, scenario.slots(), clock, random));
            nodes.add(new ModelNode(dataCentre));
        }
        int announced = scenario.trouble() == Trouble.COLD ? targets.size() - 1 : targets.size();
        for (ModelNode node : nodes) {
            for (ModelTarget target : targets.subList(0, announced)) {
                node.announce(target, TargetStatistics.warm(target.slots()));
            }
        }
    }

    private void strike() {
        tally.start();
        int last = targets.size() - 1;
        for (int index = 0; index < targets.size(); index++) {
            boolean struck =
                    switch (scenario.reach()) {
                        case LAST_TARGET -> index == last;
                        case LAST_DATA_CENTRE ->
                                index % scenario.dataCentres() == scenario.dataCentres() - 1;
                        case ALL -> true;
                    };
            if (struck) {
                targets.get(index).enter(scenario.trouble());
            }
        }
        if (scenario.trouble() == Trouble.COLD) {
            ModelTarget cold = targets.get(last);
            nodes.forEach(
                    node ->
                            node.announce(
                                    cold, TargetStatistics.cold(cold.slots(), clock.nowMillis())));
        }
        if (scenario.reach() == ModelScenario.Reach.LAST_DATA_CENTRE) {
            String lost = "dc-" + (scenario.dataCentres() - 1);
            nodes.removeIf(node -> node.dataCentre().equals(lost));
        }
    }

    private void tick() {
        targets.forEach(ModelTarget::tick);
        clock.after(TICK_MILLIS, this::tick);
    }

    private void arrive() {
        double slots = (double) scenario.targets() * scenario.slots();
        double meanGap = MEAN_SERVICE_MILLIS / (slots * scenario.load());
        clock.after(-meanGap * Math.log(1 - random.nextDouble()), this::arrive);
        boolean skewed = random.nextDouble() < scenario.skew();
        ModelNode node = nodes.get(skewed ? 0 : random.nextInt(nodes.size()));
        node.budget().deposit();
        calls++;
        Caller caller = new Caller("10.0.0." + calls % CALLERS, "");
        attempt(new ModelCall(node, caller, clock.nowMicros(), new HashSet<>()));
    }

    private void attempt(ModelCall call) {
        Optional<TargetView> choice =
                policy.choose(call.node(), call.tried(), clock.nowMillis(), random);
        if (choice.isEmpty()) {
            tally.refused();
            return;
        }
        TargetView view = choice.get();
        call.tried().add(view.node());
        view.statistics().recordSent(clock.nowMillis());
        ModelTarget target = targets.get(Integer.parseInt(view.node().substring(1)));
        boolean near = view.dataCentre().equals(call.node().dataCentre());
        tally.sent(near);
        double way = near ? SAME_DATA_CENTRE_MILLIS : OTHER_DATA_CENTRE_MILLIS;
        long sentMicros = clock.nowMicros();
        switch (target.trouble()) {
            case DEAD ->
                    clock.after(
                            REFUSED_CONNECTION_MILLIS,
                            () -> end(call, view, TargetCallResult.UNREACHABLE, sentMicros));
            case SILENT ->
                    clock.after(
                            CONNECT_TIMEOUT_MILLIS,
                            () -> end(call, view, TargetCallResult.UNREACHABLE, sentMicros));
            default ->
                    clock.after(
                            way,
                            () ->
                                    target.arrive(
                                            call.caller(),
                                            call.deadlineMillis(CALL_TIMEOUT_MILLIS),
                                            answer ->
                                                    comeBack(
                                                            call,
                                                            target,
                                                            view,
                                                            answer,
                                                            way,
                                                            sentMicros)));
        }
    }

    private void comeBack(
            ModelCall call,
            ModelTarget target,
            TargetView view,
            TargetCallResult answer,
            double way,
            long sentMicros) {
        var report = target.report();
        clock.after(
                way,
                () -> {
                    end(call, view, answer, sentMicros);
                    if (answer != TargetCallResult.LOST) {
                        view.statistics().recordLoadReport(report, clock.nowMillis());
                    }
                });
    }

    private void end(ModelCall call, TargetView view, TargetCallResult answer, long sentMicros) {
        view.statistics()
                .recordResult(
                        answer,
                        (clock.nowMicros() - sentMicros) / MICROS_PER_MILLI,
                        clock.nowMillis());
        AttemptOutcome outcome =
                switch (answer) {
                    case SUCCEEDED -> {
                        call.node().tookMillis(view.node(), call.tookMillis(clock.nowMicros()));
                        yield new AttemptOutcome.Answered(200);
                    }
                    case FAILED -> new AttemptOutcome.Answered(500);
                    case SHED -> new AttemptOutcome.NotRun("shed", 1);
                    case UNREACHABLE -> new AttemptOutcome.NotRun("cannot_connect", 0);
                    case LOST -> new AttemptOutcome.MayHaveRun("lost");
                };
        long remaining = call.deadlineMillis(CALL_TIMEOUT_MILLIS) - clock.nowMillis();
        CallProgress progress =
                new CallProgress(
                        true, false, call.tried().size(), remaining, Route.DEFAULT_MAX_ATTEMPTS, 0);
        RetryDecision decision =
                RetryPolicy.decide(outcome, progress, call.node().budget(), random);
        switch (decision) {
            case RetryDecision.Retry retry -> clock.after(retry.delayMillis(), () -> attempt(call));
            case RetryDecision.GiveUp giveUp -> tally.gaveUp(giveUp.outcome());
            case RetryDecision.Answer answered ->
                    tally.answered(
                            answer == TargetCallResult.SUCCEEDED,
                            call.tookMicros(clock.nowMicros()));
        }
    }
}
