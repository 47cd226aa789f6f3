package org.cuminreach.decisions.configuration;

/**
 * A document's text as the difference to an earlier one: what both begin and end with, and what
 * stands between. A change of one route of many stays small on the wire and on disk.
 *
 * @param keptFirst characters that are kept from the beginning of the earlier text
 * @param keptLast characters that are kept from its end
 * @param between what stands between them
 */
public record DocumentEdit(int keptFirst, int keptLast, String between) {
    /**
     * Finds the difference between two texts.
     *
     * @param earlier the earlier text
     * @param later the later text
     * @return an edit that makes the later text from the earlier one
     */
    public static DocumentEdit between(String earlier, String later) {
        int most = Math.min(earlier.length(), later.length());
        int first = 0;
        while (first < most && earlier.charAt(first) == later.charAt(first)) {
            first++;
        }
        int last = 0;
        while (last < most - first
                && earlier.charAt(earlier.length() - 1 - last)
                        == later.charAt(later.length() - 1 - last)) {
            last++;
        }
        return new DocumentEdit(first, last, later.substring(first, later.length() - last));
    }

    /**
     * Makes the later text.
     *
     * @param earlier the text that the edit was made for
     * @return the later text
     * @throws IllegalStateException when the earlier text is shorter than what is kept of it
     */
    public String applyTo(String earlier) {
        if (keptFirst < 0 || keptLast < 0 || keptFirst + keptLast > earlier.length()) {
            throw new IllegalStateException(
                    "an edit keeps " + keptFirst + " and " + keptLast + " of " + earlier.length());
        }
        return earlier.substring(0, keptFirst)
                + between
                + earlier.substring(earlier.length() - keptLast);
    }
}
