package org.cuminreach.decisions.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A document text as a difference to an earlier one: ranges copied from any position of the earlier
 * text, and new text. This keeps a change of a few routes among many small on the wire and on disk.
 *
 * @param parts the parts of the later text, in order
 */
public record DocumentEdit(List<Part> parts) {
    /**
     * Size of the blocks that are searched for, in characters. Shorter ranges are not worth
     * keeping, as a reference to one takes a few bytes.
     */
    private static final int BLOCK_CHARACTERS = 32;

    /** Characters after the previous kept range that are searched first for the next one. */
    private static final int NEXT_BLOCK_SEARCH_CHARACTERS = 1_024;

    /** A part of the later text. */
    public sealed interface Part {
        /**
         * A range of the earlier text.
         *
         * @param from index of its first character in the earlier text
         * @param length its length in characters
         */
        record Kept(int from, int length) implements Part {}

        /**
         * New text.
         *
         * @param text the text
         */
        record Added(String text) implements Part {}
    }

    /** Makes a defensive copy of the list. */
    public DocumentEdit {
        parts = List.copyOf(parts);
    }

    /**
     * Computes the difference between two texts.
     *
     * @param earlier the earlier text
     * @param later the later text
     * @return an edit that produces the later text from the earlier one
     */
    public static DocumentEdit diff(String earlier, String later) {
        Map<String, Integer> blocks = new HashMap<>();
        for (int start = 0;
                start + BLOCK_CHARACTERS <= earlier.length();
                start += BLOCK_CHARACTERS) {
            blocks.putIfAbsent(earlier.substring(start, start + BLOCK_CHARACTERS), start);
        }
        List<Part> parts = new ArrayList<>();
        int added = 0;
        int at = 0;
        int expected = 0;
        while (at < later.length()) {
            int from = findBlock(earlier, later, at, expected, blocks);
            if (from < 0) {
                at++;
                continue;
            }
            int before = commonLengthBefore(earlier, from, later, at, added);
            int length = before + commonLengthAfter(earlier, from, later, at);
            add(parts, later.substring(added, at - before));
            parts.add(new Part.Kept(from - before, length));
            at = at - before + length;
            expected = from - before + length;
            added = at;
        }
        add(parts, later.substring(added));
        return new DocumentEdit(parts);
    }

    /**
     * Tells whether the edit can be applied to a text.
     *
     * @param earlier the text
     * @return true when every kept range lies inside the text
     */
    public boolean fits(String earlier) {
        return parts.stream()
                .allMatch(part -> !(part instanceof Part.Kept kept) || isInside(kept, earlier));
    }

    /**
     * Applies the edit.
     *
     * @param earlier the text that the edit is based on
     * @return the later text
     * @throws IllegalStateException if a kept range lies outside the earlier text
     */
    public String applyTo(String earlier) {
        StringBuilder later = new StringBuilder();
        for (Part part : parts) {
            switch (part) {
                case Part.Added added -> later.append(added.text());
                case Part.Kept kept -> later.append(extract(earlier, kept));
            }
        }
        return later.toString();
    }

    private static String extract(String earlier, Part.Kept kept) {
        if (!isInside(kept, earlier)) {
            throw new IllegalStateException(
                    "edit range " + kept + " exceeds text of " + earlier.length() + " characters");
        }
        return earlier.substring(kept.from(), kept.from() + kept.length());
    }

    private static boolean isInside(Part.Kept kept, String earlier) {
        return kept.from() >= 0
                && kept.length() >= 0
                && kept.from() <= earlier.length() - kept.length();
    }

    /** Returns the index of a block of the later text in the earlier one, or -1 if not found. */
    private static int findBlock(
            String earlier, String later, int at, int expected, Map<String, Integer> blocks) {
        if (at + BLOCK_CHARACTERS > later.length()) {
            return -1;
        }
        String block = later.substring(at, at + BLOCK_CHARACTERS);
        int next =
                earlier.indexOf(
                        block,
                        expected,
                        Math.min(earlier.length(), expected + NEXT_BLOCK_SEARCH_CHARACTERS));
        return next >= 0 ? next : blocks.getOrDefault(block, -1);
    }

    private static int commonLengthBefore(
            String earlier, int from, String later, int at, int start) {
        int length = 0;
        while (at - length > start
                && from - length > 0
                && earlier.charAt(from - length - 1) == later.charAt(at - length - 1)) {
            length++;
        }
        return length;
    }

    private static int commonLengthAfter(String earlier, int from, String later, int at) {
        int length = 0;
        while (from + length < earlier.length()
                && at + length < later.length()
                && earlier.charAt(from + length) == later.charAt(at + length)) {
            length++;
        }
        return length;
    }

    private static void add(List<Part> parts, String text) {
        if (!text.isEmpty()) {
            parts.add(new Part.Added(text));
        }
    }
}
