package org.cuminreach.decisions.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cuminreach.document.Tenant;

/** Load of one tenant in a {@link QuotaModel}, and what became of its calls. */
final class TenantLoad {
    final String name;
    final double callsPerSecond;
    double factor = 1;
    Tenant tenant;
    double mostInWindow;
    long calls;
    long passed;
    long refused;
    long owed;
    private double tokens;
    private long tokensMillis;
    private final Deque<Long> window = new ArrayDeque<>();

    TenantLoad(String name, double callsPerSecond, Tenant tenant) {
        this.name = name;
        this.callsPerSecond = callsPerSecond;
        this.tenant = tenant;
        this.tokens = tenant.burst();
    }

    /** Tells whether one bucket of the quota itself has a token for a call now. */
    boolean isOwed(long nowMillis) {
        tokens =
                Math.min(
                        tenant.burst(),
                        tokens + (nowMillis - tokensMillis) * tenant.ratePerSecond() / 1_000);
        tokensMillis = nowMillis;
        boolean owed = tokens >= 1;
        tokens -= owed ? 1 : 0;
        return owed;
    }

    void pass(long nowMillis) {
        passed++;
        window.addLast(nowMillis);
        while (window.peekFirst() <= nowMillis - QuotaModel.BOUND.windowMillis()) {
            window.removeFirst();
        }
        mostInWindow = Math.max(mostInWindow, window.size());
    }

    void startCounting() {
        calls = 0;
        passed = 0;
        refused = 0;
        owed = 0;
        mostInWindow = 0;
        window.clear();
    }
}
