package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

class CallRateLimitTest {
    @Example
    void textThatIsNoDecimalNumberIsNoLimit() {
        for (String text :
                List.of("-1", "NaN", "1e9", "0x1p3", "5d", "1,5", "ten", "9".repeat(400))) {
            assertThat(CallRateLimit.parse(text)).isEqualTo(new CallRateLimit.Unreadable(text));
        }
        assertThat(CallRateLimit.parse(" ")).isEqualTo(CallRateLimit.unlimited());
        assertThat(CallRateLimit.parse("0")).isEqualTo(new CallRateLimit.PerSecond(0));
    }

    @Property(seed = "251", tries = 200)
    void textOfReadLimitNamesTheSameLimit(
            @ForAll @DoubleRange(min = 0, max = 100_000) double value) {
        CallRateLimit limit = CallRateLimit.parse(String.format(Locale.ROOT, "%.4f", value));
        assertThat(CallRateLimit.parse(limit.text())).isEqualTo(limit);
    }
}
