package org.cuminreach.decisions.admission;

/**
 * Caller of a call, identified by the IP address that the first node saw and by the name that the
 * caller gave. Admission shares a target by address first, then by name within an address.
 *
 * @param source IP address of the caller
 * @param name name that it gave, empty when it gave none
 */
public record Caller(String source, String name) {
    private static final char SEPARATOR = '@';
    private static final int MAX_PART_CHARACTERS = 64;
    private static final String LOOPBACK_PREFIX = "127.";

    /** Truncates long parts, so that names given by callers take bounded memory. */
    public Caller {
        source = truncate(source);
        name = truncate(name);
    }

    /**
     * Identifies the caller of a call that enters the mesh. The target on this VM is trusted to
     * name the caller on whose behalf it calls; any other caller is identified by its own IP
     * address.
     *
     * @param header value of the caller header, empty when absent
     * @param remoteHost IP address that the call came from
     * @param ownHost IP address of this VM, where the target runs as well
     * @return the caller
     */
    public static Caller identify(String header, String remoteHost, String ownHost) {
        boolean fromOwnTarget =
                remoteHost.equals(ownHost) || remoteHost.startsWith(LOOPBACK_PREFIX);
        if (fromOwnTarget && header.indexOf(SEPARATOR) >= 0) {
            return parse(header);
        }
        return new Caller(remoteHost, header.replace(SEPARATOR, '_'));
    }

    /**
     * Parses a value that another node wrote with {@link #text}.
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
     * Returns the value of the caller header.
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
