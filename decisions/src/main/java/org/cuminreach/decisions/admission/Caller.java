package org.cuminreach.decisions.admission;

/**
 * Who a call is from, as admission tells callers apart: by the IP number that the first node saw,
 * and within one IP number by the name that the caller gave.
 *
 * @param source IP number of the caller
 * @param name name that it gave, empty when it gave none
 */
public record Caller(String source, String name) {
    private static final char SEPARATOR = '@';
    private static final int MAX_PART_CHARACTERS = 64;
    private static final String LOOPBACK_PREFIX = "127.";

    /** Cuts overlong parts, so that a caller's name costs bounded memory. */
    public Caller {
        source = truncate(source);
        name = truncate(name);
    }

    /**
     * Identifies the caller of a call that enters the mesh. What a target says of the caller whose
     * call it works on is believed; anyone else is known by the own IP number.
     *
     * @param told value of the caller header, empty when absent
     * @param remoteHost IP number that the call came from
     * @param ownHost IP number of this VM, where the target runs as well
     * @return the caller
     */
    public static Caller identify(String told, String remoteHost, String ownHost) {
        boolean fromOwnTarget =
                remoteHost.equals(ownHost) || remoteHost.startsWith(LOOPBACK_PREFIX);
        if (fromOwnTarget && told.indexOf(SEPARATOR) >= 0) {
            return parse(told);
        }
        return new Caller(remoteHost, told.replace(SEPARATOR, '_'));
    }

    /**
     * Reads what another node wrote with {@link #text}.
     *
     * @param text the text
     * @return the caller
     */
    public static Caller parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator < 0) {
            return new Caller(text, "");
        }
        return new Caller(text.substring(separator + 1), text.substring(0, separator));
    }

    /**
     * Returns the form in which the caller travels with its call.
     *
     * @return for example {@code workshop-7@10.0.3.4}
     */
    public String text() {
        return name + SEPARATOR + source;
    }

    private static String truncate(String part) {
        return part.length() <= MAX_PART_CHARACTERS ? part : part.substring(0, MAX_PART_CHARACTERS);
    }
}
