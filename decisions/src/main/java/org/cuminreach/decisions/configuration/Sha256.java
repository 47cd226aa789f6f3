package org.cuminreach.decisions.configuration;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The hash that tells contents apart. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Begins a hash.
     *
     * @return a hash of nothing yet
     * @throws IllegalStateException when the Java platform lacks it, as none does
     */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }
}
