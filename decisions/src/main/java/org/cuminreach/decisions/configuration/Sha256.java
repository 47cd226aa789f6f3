package org.cuminreach.decisions.configuration;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Factory of SHA-256 digests. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Creates a SHA-256 digest.
     *
     * @return a new digest
     * @throws IllegalStateException if SHA-256 is not available, although the Java specification
     *     requires it
     */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("SHA-256 is not available", missing);
        }
    }
}
