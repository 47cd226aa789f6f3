package org.cuminreach.decisions.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Answers the demands of a control's nodes from its {@link QuotaLedger}. Demands for which it has
 * no tokens wait for a short time while it asks other controls for a loan; with shares of a few
 * tokens each, this lets the controls grant as from one bucket. Not thread-safe.
 *
 * @param <S> type of a session with a node
 */
public final class QuotaExchange<S> {
    /** Longest wait of a demand for a loan; controls reach each other in less. */
    static final long LOAN_WAIT_MILLIS = 40;

    /** Time without further questions after no other control had tokens to lend. */
    static final long FRUITLESS_PAUSE_MILLIS = 200;

    /** Tokens asked for in all for each one that is missing; controls without surplus lend none. */
    private static final int ASKED_PER_MISSING = 2;

    /** What is to be sent. */
    public sealed interface Action<S> {
        /**
         * Answers a node.
         *
         * @param <S> type of a session
         * @param session session of the node
         * @param question number of its question
         * @param answer the answer
         */
        record Answer<S>(S session, long question, QuotaAnswer answer) implements Action<S> {}

        /**
         * Asks another control for a loan.
         *
         * @param <S> type of a session
         * @param control identity of the control
         * @param loan number of the loan
         * @param tenant name of the tenant
         * @param tokens number of tokens
         */
        record AskLoan<S>(String control, long loan, String tenant, int tokens)
                implements Action<S> {}
    }

    private record Missing<S>(S session, long question, int calls) {}

    private static final class Shortage<S> {
        private final Deque<Missing<S>> missing = new ArrayDeque<>();
        private long loan;
        private long askedMillis;
        private int openQuestions;
        private boolean anyLent;
        private long pausedUntilMillis = Long.MIN_VALUE;
    }

    private final QuotaLedger ledger;
    private final Map<String, Shortage<S>> shortages = new LinkedHashMap<>();
    private List<String> otherControls = List.of();
    private int nextControl;
    private long lastLoan;

    private QuotaExchange(QuotaLedger ledger, long firstLoan) {
        this.ledger = ledger;
        this.lastLoan = firstLoan;
    }

    /**
     * Returns an exchange without other controls.
     *
     * @param <S> type of a session with a node
     * @param ledger quotas of this control
     * @param firstLoan number below all loans of this start, so that no answer to an earlier start
     *     is taken for one of this start
     * @return the exchange
     */
    public static <S> QuotaExchange<S> of(QuotaLedger ledger, long firstLoan) {
        return new QuotaExchange<>(ledger, firstLoan);
    }

    /**
     * Sets the controls that may lend tokens.
     *
     * @param controls identities of the other members
     */
    public void setOtherControls(List<String> controls) {
        otherControls = List.copyOf(controls);
    }

    /**
     * Handles a question of a node.
     *
     * @param session session of the node
     * @param question number of the question
     * @param demands what it asks for and gives back
     * @param nowMillis current time
     * @return what is to be sent now
     */
    public List<Action<S>> receive(
            S session, long question, List<QuotaDemand> demands, long nowMillis) {
        List<Action<S>> actions = new ArrayList<>();
        for (QuotaDemand demand : demands) {
            if (demand.returned() > 0) {
                ledger.giveBack(
                        demand.tenant(), demand.returned(), demand.drawnMillis(), nowMillis);
            }
            if (demand.wanted() > 0) {
                draw(session, question, demand, actions, nowMillis);
            }
        }
        return actions;
    }

    /**
     * Handles the answer of another control to a question for a loan.
     *
     * @param loan number of the loan
     * @param tenant name of the tenant
     * @param tokens tokens that it lends, may be 0
     * @param nowMillis current time
     * @return what is to be sent now
     */
    public List<Action<S>> receiveLoan(long loan, String tenant, int tokens, long nowMillis) {
        List<Action<S>> actions = new ArrayList<>();
        Shortage<S> shortage = shortages.get(tenant);
        if (shortage == null || shortage.loan != loan) {
            return actions;
        }
        shortage.openQuestions--;
        if (tokens > 0) {
            shortage.anyLent = true;
            ledger.addLoan(tenant, tokens, shortage.askedMillis, nowMillis);
            serve(tenant, shortage, actions, nowMillis);
        }
        if (shortage.openQuestions <= 0) {
            settle(tenant, shortage, actions, nowMillis);
        }
        return actions;
    }

    /**
     * Refuses the demands whose wait for a loan is over.
     *
     * @param nowMillis current time
     * @return what is to be sent now
     */
    public List<Action<S>> onTimer(long nowMillis) {
        List<Action<S>> actions = new ArrayList<>();
        Iterator<Map.Entry<String, Shortage<S>>> all = shortages.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, Shortage<S>> entry = all.next();
            Shortage<S> shortage = entry.getValue();
            if (shortage.loan != 0 && nowMillis - shortage.askedMillis > LOAN_WAIT_MILLIS) {
                settle(entry.getKey(), shortage, actions, nowMillis);
            }
            if (shortage.loan == 0 && nowMillis >= shortage.pausedUntilMillis) {
                all.remove();
            }
        }
        return actions;
    }

    /**
     * Lends tokens to another control.
     *
     * @param tenant name of the tenant
     * @param wanted tokens that it asks for
     * @param nowMillis current time
     * @return tokens that it gets
     */
    public int lend(String tenant, int wanted, long nowMillis) {
        return ledger.lend(tenant, wanted, nowMillis);
    }

    private void draw(
            S session, long question, QuotaDemand demand, List<Action<S>> actions, long nowMillis) {
        String tenant = demand.tenant();
        int granted = ledger.draw(tenant, demand.wanted(), nowMillis);
        if (granted > 0) {
            actions.add(grant(session, question, tenant, granted, nowMillis));
        }
        int missing = demand.wanted() - granted;
        if (missing == 0) {
            return;
        }
        Shortage<S> shortage = shortages.computeIfAbsent(tenant, absent -> new Shortage<>());
        if (otherControls.isEmpty() || nowMillis < shortage.pausedUntilMillis) {
            actions.add(refuse(session, question, tenant, missing, nowMillis));
            return;
        }
        shortage.missing.addLast(new Missing<>(session, question, missing));
        if (shortage.loan == 0) {
            askForLoan(tenant, shortage, missing, actions, nowMillis);
        }
    }

    private void askForLoan(
            String tenant,
            Shortage<S> shortage,
            int missing,
            List<Action<S>> actions,
            long nowMillis) {
        int asked = otherControls.size();
        int wanted = missing * ASKED_PER_MISSING;
        lastLoan++;
        shortage.loan = lastLoan;
        shortage.askedMillis = nowMillis;
        shortage.openQuestions = asked;
        shortage.anyLent = false;
        for (int count = 0; count < asked; count++) {
            nextControl = (nextControl + 1) % otherControls.size();
            actions.add(
                    new Action.AskLoan<>(
                            otherControls.get(nextControl),
                            shortage.loan,
                            tenant,
                            Math.ceilDiv(wanted, asked)));
        }
    }

    /** Passes tokens on to the demands that have waited longest. */
    private void serve(
            String tenant, Shortage<S> shortage, List<Action<S>> actions, long nowMillis) {
        while (!shortage.missing.isEmpty()) {
            Missing<S> first = shortage.missing.removeFirst();
            int granted = ledger.draw(tenant, first.calls(), nowMillis);
            if (granted > 0) {
                actions.add(grant(first.session(), first.question(), tenant, granted, nowMillis));
            }
            if (granted < first.calls()) {
                shortage.missing.addFirst(
                        new Missing<>(first.session(), first.question(), first.calls() - granted));
                return;
            }
        }
    }

    /** Ends a loan: what is still missing is refused. */
    private void settle(
            String tenant, Shortage<S> shortage, List<Action<S>> actions, long nowMillis) {
        serve(tenant, shortage, actions, nowMillis);
        if (!shortage.anyLent) {
            shortage.pausedUntilMillis = nowMillis + FRUITLESS_PAUSE_MILLIS;
        }
        shortage.loan = 0;
        for (Missing<S> missing : shortage.missing) {
            actions.add(
                    refuse(
                            missing.session(),
                            missing.question(),
                            tenant,
                            missing.calls(),
                            nowMillis));
        }
        shortage.missing.clear();
    }

    private Action<S> grant(S session, long question, String tenant, int granted, long nowMillis) {
        return new Action.Answer<>(
                session,
                question,
                new QuotaAnswer(tenant, granted, 0, nowMillis, QuotaLimit.GRANT_VALID_MILLIS, 0));
    }

    private Action<S> refuse(S session, long question, String tenant, int calls, long nowMillis) {
        return new Action.Answer<>(
                session,
                question,
                new QuotaAnswer(
                        tenant, 0, calls, nowMillis, 0, ledger.refuse(tenant, calls, nowMillis)));
    }
}
