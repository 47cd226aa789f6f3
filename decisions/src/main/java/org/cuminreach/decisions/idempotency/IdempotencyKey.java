package org.cuminreach.decisions.idempotency;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Key with which a caller marks a request and its repetitions.
 *
 * @param text the key as sent
 * @param createdMillis time at which it was created, in milliseconds since the epoch; known only
 *     for a UUID of version 7
 */
public record IdempotencyKey(String text, OptionalLong createdMillis) {
    private static final int MAX_CHARACTERS = 200;
    private static final Pattern UUID_VERSION_7 =
            Pattern.compile(
                    "\\p{XDigit}{8}-\\p{XDigit}{4}-7\\p{XDigit}{3}"
                            + "-[89abAB]\\p{XDigit}{3}-\\p{XDigit}{12}");
    private static final int HEXADECIMAL = 16;

    /**
     * Parses a key.
     *
     * @param text the key as sent
     * @return the key, or empty when it is blank or too long
     */
    public static Optional<IdempotencyKey> parse(String text) {
        String trimmed = text.trim();
        if (trimmed.isEmpty() || trimmed.length() > MAX_CHARACTERS) {
            return Optional.empty();
        }
        if (!UUID_VERSION_7.matcher(trimmed).matches()) {
            return Optional.of(new IdempotencyKey(trimmed, OptionalLong.empty()));
        }
        String time = trimmed.substring(0, 8) + trimmed.substring(9, 13);
        return Optional.of(
                new IdempotencyKey(trimmed, OptionalLong.of(Long.parseLong(time, HEXADECIMAL))));
    }
}
