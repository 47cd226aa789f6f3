package org.cuminreach.settings;

/**
 * One thing wrong with a settings file or a document.
 *
 * @param path place in the file, such as {@code routes[2].service}
 * @param reason what was found there and what is allowed
 */
public record Fault(String path, String reason) {
    @Override
    public String toString() {
        return path + ": " + reason;
    }
}
