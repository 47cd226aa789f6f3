package org.cuminreach.settings;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A TCP address made of an IPv4 address and a port.
 *
 * @param host IPv4 address in dotted decimal form
 * @param port 1 to 65,535
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final Pattern PATTERN =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

    /**
     * Parses {@code a.b.c.d:port}.
     *
     * @param text text to parse
     * @return the address, or empty when the text is not a valid one
     */
    public static Optional<Address> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        for (int group = 1; group <= 4; group++) {
            if (Integer.parseInt(matcher.group(group)) > MAX_OCTET) {
                return Optional.empty();
            }
        }
        int port = Integer.parseInt(matcher.group(5));
        if (port < 1 || port > MAX_PORT) {
            return Optional.empty();
        }
        return Optional.of(new Address(text.substring(0, text.lastIndexOf(':')), port));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
