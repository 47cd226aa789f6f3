package org.cuminreach.decisions.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.cuminreach.document.Tenant;
import org.cuminreach.settings.MeshBounds;

/**
 * Plays calls of tenants through nodes and controls without a network. Each message takes one to
 * three milliseconds. Counts the calls that pass, the most in a window, and those that would have
 * passed by one bucket with the quota's own rate and burst.
 */
final class QuotaModel {
    static final MeshBounds.Quota BOUND = MeshBounds.defaults().quota();
    private static final int TICK_MILLIS = 20;
    private static final int CONFIRM_MILLIS = 500;
    static final int RECONNECT_MILLIS = 400;
    private static final int MAX_WAIT_MILLIS = 100;

    private record Call(TenantLoad load) {}

    private record Session(int node, int epoch) {}

    private record Event(long atMillis, long order, Runnable action) {}

    private final class Node {
        private final int number;
        private QuotaPool<Call> pool = QuotaPool.create();
        private int control;
        private long connectedMillis;
        private int epoch;
        private boolean cut;

        Node(int number) {
            this.number = number;
            this.control = number % controls.size();
        }

        private void call(Call call) {
            switch (pool.offer(call.load().name, call, MAX_WAIT_MILLIS, now)) {
                case QuotaOutcome.Passes passes -> decide(call, passes);
                case QuotaOutcome.Waits waits -> ask();
                case QuotaOutcome refused -> decide(call, refused);
            }
        }

        private boolean isConnected() {
            return now >= connectedMillis && !cut && controls.get(control).running;
        }

        private void ask() {
            if (!isConnected()) {
                return;
            }
            Control to = controls.get(control);
            int askedEpoch = epoch;
            Optional<QuotaPool.Question> question = pool.nextQuestion(now);
            question.ifPresent(
                    asked -> {
                        messages++;
                        afterLatency(() -> to.receive(this, askedEpoch, asked));
                    });
        }

        private void answer(int askedEpoch, long question, QuotaAnswer answer) {
            if (askedEpoch == epoch && isConnected()) {
                pool.answer(question, answer, now)
                        .forEach(decided -> decide(decided.call(), decided.outcome()));
            }
        }

        private void onTick() {
            if (!controls.get(control).running) {
                reconnect();
            }
            pool.expire(now).forEach(decided -> decide(decided.call(), decided.outcome()));
            ask();
        }

        private void reconnect() {
            control = (control + 1 + random.nextInt(controls.size())) % controls.size();
            connectedMillis = now + random.nextInt(RECONNECT_MILLIS);
            epoch++;
            pool.startSession();
        }

        private void restart() {
            pool = QuotaPool.create();
            epoch++;
        }
    }

    private final class Control {
        private final int number;
        private QuotaLedger ledger;
        private QuotaExchange<Session> exchange;
        private boolean running = true;
        private boolean cut;
        private QuotaShare share;

        Control(int number) {
            this.number = number;
        }

        private void start() {
            running = true;
            ledger = QuotaLedger.create(BOUND.windowMillis(), now);
            ledger.setLimits(limits);
            exchange = QuotaExchange.of(ledger, now << 20);
            share = QuotaShare.create(true, now);
        }

        private void receive(Node node, int epoch, QuotaPool.Question question) {
            if (running) {
                send(
                        exchange.receive(
                                new Session(node.number, epoch),
                                question.number(),
                                question.demands(),
                                now));
            }
        }

        private void receiveLoanQuestion(Control from, long loan, String tenant, int tokens) {
            if (running && !cut) {
                int lent = exchange.lend(tenant, tokens, now);
                messages++;
                afterLatency(() -> from.receiveLoan(loan, tenant, lent));
            }
        }

        private void receiveLoan(long loan, String tenant, int tokens) {
            if (running && !cut) {
                send(exchange.receiveLoan(loan, tenant, tokens, now));
            }
        }

        private void onTick() {
            if (!running) {
                return;
            }
            ledger.setShare(share.share(now), now);
            exchange.setOtherControls(
                    loans
                            ? IntStream.range(0, controls.size())
                                    .filter(other -> other != number)
                                    .mapToObj(Integer::toString)
                                    .toList()
                            : List.of());
            send(exchange.onTimer(now));
            ledger.forgetIdle(now);
        }

        private void confirm() {
            if (running && !cut && now >= leaderFromMillis) {
                share.recordConfirmed(now, controls.size(), true, now);
            }
        }

        private void send(List<QuotaExchange.Action<Session>> actions) {
            for (QuotaExchange.Action<Session> action : actions) {
                messages++;
                switch (action) {
                    case QuotaExchange.Action.Answer<Session> answer ->
                            afterLatency(
                                    () ->
                                            nodes.get(answer.session().node())
                                                    .answer(
                                                            answer.session().epoch(),
                                                            answer.question(),
                                                            answer.answer()));
                    case QuotaExchange.Action.AskLoan<Session> ask -> {
                        Control to = controls.get(Integer.parseInt(ask.control()));
                        if (!cut) {
                            afterLatency(
                                    () ->
                                            to.receiveLoanQuestion(
                                                    this, ask.loan(), ask.tenant(), ask.tokens()));
                        }
                    }
                }
            }
        }
    }

    private final Random random;
    private final boolean loans;
    private final List<TenantLoad> loads = new ArrayList<>();
    private final List<Control> controls = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (one, other) ->
                            one.atMillis() == other.atMillis()
                                    ? Long.compare(one.order(), other.order())
                                    : Long.compare(one.atMillis(), other.atMillis()));
    private final Map<String, Double> nextCallMillis = new HashMap<>();
    private Map<String, QuotaLimit> limits = Map.of();
    private long now;
    private long order;
    private long leaderFromMillis;
    private long messages;
    private boolean oneNode;

    private QuotaModel(long seed, int nodeCount, int controlCount, boolean loans) {
        this.random = new Random(seed);
        this.loans = loans;
        IntStream.range(0, controlCount).forEach(number -> controls.add(new Control(number)));
        IntStream.range(0, nodeCount).forEach(number -> nodes.add(new Node(number)));
    }

    /** Returns a mesh whose tenants have sizes like 1 / rank^1.2, with 1.6 times these as rates. */
    static QuotaModel of(
            long seed, int nodes, int controls, boolean loans, int tenants, double callsPerSecond) {
        QuotaModel model = new QuotaModel(seed, nodes, controls, loans);
        double sum =
                IntStream.rangeClosed(1, tenants).mapToDouble(rank -> Math.pow(rank, -1.2)).sum();
        for (int rank = 1; rank <= tenants; rank++) {
            double rate = callsPerSecond * Math.pow(rank, -1.2) / sum;
            model.loads.add(
                    new TenantLoad(
                            "t" + rank, rate, tenant("t" + rank, 1.6 * rate, 1.6 * rate + 5)));
        }
        model.applyLimits();
        model.controls.forEach(Control::start);
        return model;
    }

    static Tenant tenant(String name, double rate, double burst) {
        return new Tenant(name, List.of(), 0, rate, burst, List.of());
    }

    /** Plays the load for a time. */
    QuotaModel run(long millis) {
        long end = now + millis;
        for (; now < end; now++) {
            while (!events.isEmpty() && events.peek().atMillis() <= now) {
                events.remove().action().run();
            }
            loads.forEach(this::arrivals);
            if (now % CONFIRM_MILLIS == 0) {
                controls.forEach(Control::confirm);
            }
            if (now % TICK_MILLIS == 0) {
                controls.forEach(Control::onTick);
                nodes.forEach(Node::onTick);
            }
        }
        return this;
    }

    private void arrivals(TenantLoad load) {
        double next = nextCallMillis.computeIfAbsent(load.name, name -> now + gap(load));
        while (next <= now) {
            load.calls++;
            nodes.get(oneNode ? 0 : random.nextInt(nodes.size())).call(new Call(load));
            load.owed += load.isOwed(now) ? 1 : 0;
            next += gap(load);
        }
        nextCallMillis.put(load.name, next);
    }

    private double gap(TenantLoad load) {
        return -Math.log(1 - random.nextDouble())
                * 1_000
                / Math.max(1e-9, load.callsPerSecond * load.factor);
    }

    private void afterLatency(Runnable action) {
        events.add(new Event(now + 1 + random.nextInt(3), order++, action));
    }

    private void decide(Call call, QuotaOutcome outcome) {
        if (outcome instanceof QuotaOutcome.Passes) {
            call.load().pass(now);
        } else {
            call.load().refused++;
        }
    }

    private void applyLimits() {
        Map<String, QuotaLimit> current = new HashMap<>();
        for (TenantLoad load : loads) {
            QuotaLimit.of(load.tenant, BOUND).ifPresent(limit -> current.put(load.name, limit));
        }
        limits = current;
    }

    /** Makes the calls of the largest tenants a multiple of their usual. */
    QuotaModel heat(int tenants, double factor) {
        loads.subList(0, tenants).forEach(load -> load.factor = factor);
        nextCallMillis.clear();
        return this;
    }

    /** Sets the quotas of all tenants to a multiple of their usual calls, at all controls. */
    QuotaModel changeLimits(double factor) {
        for (TenantLoad load : loads) {
            double rate = load.callsPerSecond * factor;
            load.tenant = tenant(load.name, rate, rate + 5);
        }
        applyLimits();
        controls.stream()
                .filter(control -> control.running)
                .forEach(control -> control.ledger.setLimits(limits));
        return this;
    }

    QuotaModel stopControl(int number) {
        controls.get(number).running = false;
        return this;
    }

    QuotaModel startControl(int number) {
        controls.get(number).start();
        return this;
    }

    QuotaModel loseLeader(long electionMillis) {
        leaderFromMillis = now + electionMillis;
        return this;
    }

    QuotaModel cutControl(int number, boolean cut) {
        controls.get(number).cut = cut;
        return this;
    }

    QuotaModel cutNodes(int count, boolean cut) {
        nodes.subList(0, count).forEach(node -> node.cut = cut);
        if (!cut) {
            nodes.subList(0, count).forEach(Node::reconnect);
        }
        return this;
    }

    QuotaModel restartNodes(int count) {
        nodes.subList(0, count).forEach(Node::restart);
        return this;
    }

    QuotaModel loseAllPower() {
        controls.forEach(Control::start);
        nodes.forEach(Node::restart);
        return this;
    }

    QuotaModel callOneNode() {
        oneNode = true;
        return this;
    }

    QuotaModel startCounting() {
        loads.forEach(TenantLoad::startCounting);
        messages = 0;
        return this;
    }

    List<TenantLoad> loads() {
        return loads;
    }

    TenantLoad load(int rank) {
        return loads.get(rank - 1);
    }

    long calls() {
        return loads.stream().mapToLong(load -> load.calls).sum();
    }

    long passed() {
        return loads.stream().mapToLong(load -> load.passed).sum();
    }

    /** Calls that one bucket of each quota would have let pass beyond those that passed. */
    long lost() {
        return loads.stream().mapToLong(load -> Math.max(0, load.owed - load.passed)).sum();
    }

    long messages() {
        return messages;
    }
}
