package org.cuminreach.decisions.routing;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What one node tells another about a target that is cold.
 *
 * @param coldMillis time for which it stays cold, in milliseconds, at least 0
 * @param callsPerSecond calls per second that it withstands meanwhile, above 0
 */
public record ColdNotice(long coldMillis, double callsPerSecond) {
    /** Both numbers are short enough that sums of them are finite. */
    private static final Pattern TEXT = Pattern.compile("(\\d{1,9})/(\\d{1,9}(?:\\.\\d{1,9})?)");

    private static final int MAX_SCALE = 9;

    /**
     * Returns the header value.
     *
     * @return the value, for example {@code 4000/9.1}
     */
    public String text() {
        BigDecimal rate =
                BigDecimal.valueOf(callsPerSecond)
                        .setScale(MAX_SCALE, RoundingMode.CEILING)
                        .stripTrailingZeros();
        return coldMillis + "/" + rate.toPlainString();
    }

    /**
     * Parses a header value.
     *
     * @param text the value
     * @return the notice, or empty when the value is malformed
     */
    public static Optional<ColdNotice> parse(String text) {
        if (text.isEmpty()) {
            return Optional.empty();
        }
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        double rate = Double.parseDouble(matcher.group(2));
        return rate > 0
                ? Optional.of(new ColdNotice(Long.parseLong(matcher.group(1)), rate))
                : Optional.empty();
    }
}
