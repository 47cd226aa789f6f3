package org.cuminreach.document;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * An API key of a tenant. Its text is known to the controls only; nodes know its digest. Neither
 * {@link #toString} nor {@link #equals} uses the text, so that a key shows up in no log line.
 */
public final class ApiKey {
    private static final int SHORT_DIGEST_CHARACTERS = 8;

    private final Optional<String> text;
    private final String digest;

    private ApiKey(Optional<String> text, String digest) {
        this.text = text;
        this.digest = digest;
    }

    /**
     * Returns a key.
     *
     * @param text the key
     * @return the key with its digest
     */
    public static ApiKey ofText(String text) {
        return new ApiKey(Optional.of(text), digestOf(text));
    }

    /**
     * Returns a key of which only the digest is known.
     *
     * @param digest digest, as returned by {@link #digest}
     * @return the key
     */
    public static ApiKey ofDigest(String digest) {
        return new ApiKey(Optional.empty(), digest);
    }

    /**
     * Computes the digest of a key.
     *
     * @param text the key
     * @return the SHA-256 hash, in hexadecimal digits
     * @throws IllegalStateException if the platform lacks SHA-256, which each Java platform has
     */
    public static String digestOf(String text) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }

    /**
     * Returns the text.
     *
     * @return the key, or empty when only its digest is known
     */
    public Optional<String> text() {
        return text;
    }

    /**
     * Returns the digest.
     *
     * @return the digest, which identifies the key
     */
    public String digest() {
        return digest;
    }

    /**
     * Returns a text by which operators recognise the key.
     *
     * @return the first digits of the digest
     */
    public String shortDigest() {
        return digest.substring(0, Math.min(SHORT_DIGEST_CHARACTERS, digest.length()));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKey key && key.digest.equals(digest);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }

    @Override
    public String toString() {
        return digest;
    }
}
