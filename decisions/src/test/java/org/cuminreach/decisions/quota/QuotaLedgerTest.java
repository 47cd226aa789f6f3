package org.cuminreach.decisions.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.Example;

final class QuotaLedgerTest {
    private static final int WINDOW = 5_000;

    private static QuotaLedger ledger(QuotaLimit limit, double share) {
        QuotaLedger ledger = QuotaLedger.create(WINDOW, 0);
        ledger.setLimits(Map.of("t", limit));
        ledger.setShare(share, 0);
        return ledger;
    }

    @Example
    void bucketsAreEmptyAfterStartAndRefill() {
        QuotaLedger ledger = ledger(new QuotaLimit(10, 20), 1);

        assertThat(ledger.draw("t", 5, 0)).isEqualTo(0);
        assertThat(ledger.draw("t", 50, 1_000)).isEqualTo(10);
    }

    @Example
    void lentTokensKeepTheirPlaceWhileTheyCanBeUsed() {
        QuotaLedger ledger = ledger(new QuotaLimit(1_000, 20), 1);

        assertThat(ledger.lend("t", 8, 1_000)).isEqualTo(8);
        assertThat(ledger.draw("t", 50, 1_200)).isEqualTo(12);
    }

    @Example
    void returnedTokensCountAsNeverTaken() {
        QuotaLedger ledger = ledger(new QuotaLimit(1, 20), 1);
        assertThat(ledger.draw("t", 20, 30_000)).isEqualTo(20);
        ledger.giveBack("t", 3, 30_000, 30_100);

        assertThat(ledger.draw("t", 20, 30_100)).isEqualTo(3);
    }

    @Example
    void timeToComeBackFollowsFromRefill() {
        QuotaLedger ledger = ledger(new QuotaLimit(10, 20), 1);

        assertThat(ledger.refuse("t", 1, 0)).isEqualTo(100);
        assertThat(ledger.refuse("t", 9, 0)).isEqualTo(1_000);
    }

    @Example
    void idleTenantsTakeNoMemory() {
        Map<String, QuotaLimit> limits = new HashMap<>();
        for (int tenant = 0; tenant < 10_000; tenant++) {
            limits.put("t" + tenant, new QuotaLimit(10, 20));
        }
        QuotaLedger ledger = QuotaLedger.create(WINDOW, 0);
        ledger.setLimits(limits);
        ledger.setShare(0.2, 0);
        limits.keySet().forEach(tenant -> ledger.draw(tenant, 1, 20_000));
        assertThat(ledger.uses(20_000)).hasSize(10_000);

        ledger.forgetIdle(20_000 + 2 * WINDOW + 1);

        assertThat(ledger.uses(40_000)).isEmpty();
    }
}
