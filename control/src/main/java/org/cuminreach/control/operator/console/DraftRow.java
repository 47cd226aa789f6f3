package org.cuminreach.control.operator.console;

import java.util.Map;

/**
 * A row of a table in the document form.
 *
 * @param values entered strings by field path, such as {@code rollout.version}
 */
record DraftRow(Map<String, String> values) {
    DraftRow {
        values = Map.copyOf(values);
    }

    String value(String field) {
        return values.getOrDefault(field, "");
    }

    boolean isBlank() {
        return values.values().stream().allMatch(String::isBlank);
    }
}
