package org.cuminreach.control.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cuminreach.control.replica.PeerConnections;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.quota.QuotaAnswer;
import org.cuminreach.decisions.quota.QuotaDemand;
import org.cuminreach.decisions.quota.QuotaExchange;
import org.cuminreach.decisions.quota.QuotaLedger;
import org.cuminreach.decisions.quota.QuotaLimit;
import org.cuminreach.decisions.quota.QuotaShare;
import org.cuminreach.decisions.quota.QuotaUse;
import org.cuminreach.document.Tenant;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.MeshBounds;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.QuotaCodec;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.QuotaDemandStruct;
import org.cuminreach.wire.generated.QuotaGrant;
import org.cuminreach.wire.generated.QuotaGrantStruct;
import org.cuminreach.wire.generated.QuotaRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Grants tokens of the tenants' quotas to the nodes of this control. Thread-safe. */
public final class QuotaService {
    private static final Logger LOGGER = LoggerFactory.getLogger(QuotaService.class);
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 2_000;

    private final ReplicaDriver replica;
    private final PeerConnections peers;
    private final MeshBounds.Quota bound;
    private final QuotaShare share;
    private final QuotaLedger ledger;
    private final QuotaExchange<FrameConnection> exchange;
    private long granted;
    private long refused;
    private long lent;
    private long borrowed;

    private QuotaService(
            ReplicaDriver replica,
            PeerConnections peers,
            MeshBounds.Quota bound,
            RandomGenerator random,
            long nowMillis) {
        this.replica = replica;
        this.peers = peers;
        this.bound = bound;
        this.share =
                QuotaShare.create(
                        replica.membership().member(replica.self()).isPresent(), nowMillis);
        this.ledger = QuotaLedger.create(bound.windowMillis(), nowMillis);
        this.exchange = QuotaExchange.of(ledger, random.nextLong() >>> 1);
    }

    /**
     * Returns the service of a control.
     *
     * @param replica tells the membership and the configuration
     * @param peers connections to the other controls
     * @param bound how far the calls of a tenant may exceed its quota
     * @param random source of the first loan number
     * @param nowMillis current time
     * @return the service
     */
    public static QuotaService create(
            ReplicaDriver replica,
            PeerConnections peers,
            MeshBounds.Quota bound,
            RandomGenerator random,
            long nowMillis) {
        QuotaService created = new QuotaService(replica, peers, bound, random, nowMillis);
        created.setLimits(replica.configuration());
        replica.addListener(created::setLimits);
        return created;
    }

    /**
     * Wraps the listener of a node's connection.
     *
     * @param listener receives all frames but the questions to this service
     * @return the wrapped listener
     */
    public FrameListener wrap(FrameListener listener) {
        return new NodeListener(listener);
    }

    /**
     * Handles a question of another control for a loan, or the answer to one.
     *
     * @param frame the question or the answer
     * @param from identity of the other control
     * @throws MalformedFrameException when a count in it is out of range
     */
    public void receiveFromControl(Frame frame, String from) throws MalformedFrameException {
        if (frame.getSetField() == Frame._Fields.QUOTA_REQUEST) {
            lend(frame.getQuotaRequest(), from);
        } else {
            receiveLoan(frame.getQuotaGrant());
        }
    }

    /**
     * Refuses the demands that have waited for a loan too long.
     *
     * @param nowMillis current time
     */
    public void onTimer(long nowMillis) {
        synchronized (this) {
            ledger.setShare(share.share(nowMillis), nowMillis);
            send(exchange.onTimer(nowMillis));
        }
    }

    /**
     * Asks a majority whether the membership known here is current, since the share of this control
     * follows from it, and forgets idle tenants.
     *
     * @param nowMillis current time
     */
    public void confirmMembership(long nowMillis) {
        replica.confirm(nowMillis)
                .orTimeout(CONFIRMATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (index, failure) -> {
                            if (failure == null) {
                                recordConfirmed(nowMillis, replica.membership());
                            } else {
                                LOGGER.debug("event=quota_share_unconfirmed");
                            }
                        });
        synchronized (this) {
            ledger.forgetIdle(nowMillis);
        }
    }

    /**
     * Returns the share of each quota that this control grants.
     *
     * @return from 0 to 1
     */
    public synchronized double share() {
        return ledger.share();
    }

    /**
     * Returns the use of the quotas at this control.
     *
     * @return use by name of each tenant with recent calls
     */
    public synchronized Map<String, QuotaUse> uses() {
        return ledger.uses(ProcessClock.monotonicMillis());
    }

    /**
     * Returns the tokens handled since the start.
     *
     * @return numbers by what became of them
     */
    public synchronized Map<String, Long> tokensByOutcome() {
        return Map.of("granted", granted, "refused", refused, "lent", lent, "borrowed", borrowed);
    }

    private void recordConfirmed(long askedMillis, Membership membership) {
        List<String> others =
                membership.members().stream()
                        .map(Member::id)
                        .filter(id -> !id.equals(replica.self()))
                        .toList();
        boolean member = membership.member(replica.self()).isPresent();
        long nowMillis = ProcessClock.monotonicMillis();
        synchronized (this) {
            double before = ledger.share();
            share.recordConfirmed(askedMillis, membership.members().size(), member, nowMillis);
            exchange.setOtherControls(others);
            ledger.setShare(share.share(nowMillis), nowMillis);
            if (ledger.share() != before) {
                LOGGER.info(
                        "event=quota_share_changed share={} previous={} controls={}",
                        ledger.share(),
                        before,
                        membership.members().size());
            }
        }
    }

    private void setLimits(MeshConfiguration configuration) {
        Map<String, QuotaLimit> limits = new HashMap<>();
        for (Tenant tenant : configuration.document().tenants()) {
            QuotaLimit.of(tenant, bound).ifPresent(limit -> limits.put(tenant.name(), limit));
        }
        synchronized (this) {
            ledger.setLimits(limits);
        }
    }

    private void receiveFromNode(FrameConnection from, QuotaRequest request)
            throws MalformedFrameException {
        List<QuotaDemand> demands = QuotaCodec.toDemands(request);
        synchronized (this) {
            send(
                    exchange.receive(
                            from,
                            request.getCorrelation(),
                            demands,
                            ProcessClock.monotonicMillis()));
        }
    }

    private void lend(QuotaRequest request, String from) throws MalformedFrameException {
        for (QuotaDemand demand : QuotaCodec.toDemands(request)) {
            int loan;
            synchronized (this) {
                loan =
                        exchange.lend(
                                demand.tenant(), demand.wanted(), ProcessClock.monotonicMillis());
                lent += loan;
            }
            QuotaGrantStruct struct =
                    new QuotaGrantStruct(demand.tenant(), loan, QuotaLedger.LOAN_VALID_MILLIS);
            peers.send(
                    from,
                    Frame.quotaGrant(new QuotaGrant(request.getCorrelation(), List.of(struct))));
        }
    }

    private void receiveLoan(QuotaGrant grant) throws MalformedFrameException {
        for (QuotaAnswer answer : QuotaCodec.toAnswers(grant)) {
            synchronized (this) {
                borrowed += answer.granted();
                send(
                        exchange.receiveLoan(
                                grant.getCorrelation(),
                                answer.tenant(),
                                answer.granted(),
                                ProcessClock.monotonicMillis()));
            }
        }
    }

    /** Sending only queues a frame, so that it may be done under the lock. */
    private void send(List<QuotaExchange.Action<FrameConnection>> actions) {
        for (QuotaExchange.Action<FrameConnection> action : actions) {
            switch (action) {
                case QuotaExchange.Action.Answer<FrameConnection> answer -> {
                    granted += answer.answer().granted();
                    refused += answer.answer().refused();
                    answer.session()
                            .send(QuotaCodec.toFrame(answer.question(), List.of(answer.answer())));
                }
                case QuotaExchange.Action.AskLoan<FrameConnection> ask -> {
                    QuotaDemandStruct demand = new QuotaDemandStruct(ask.tenant(), ask.tokens());
                    peers.send(
                            ask.control(),
                            Frame.quotaRequest(
                                    new QuotaRequest(ask.loan(), List.of(demand))
                                            .setControl(replica.self())));
                }
            }
        }
    }

    private final class NodeListener implements FrameListener {
        private final FrameListener next;

        NodeListener(FrameListener next) {
            this.next = next;
        }

        @Override
        public void opened(FrameConnection connection) {
            next.opened(connection);
        }

        @Override
        public void received(FrameConnection connection, Frame frame)
                throws MalformedFrameException {
            if (frame.getSetField() == Frame._Fields.QUOTA_REQUEST) {
                receiveFromNode(connection, frame.getQuotaRequest());
            } else {
                next.received(connection, frame);
            }
        }

        @Override
        public void closed(FrameConnection connection) {
            next.closed(connection);
        }
    }
}
