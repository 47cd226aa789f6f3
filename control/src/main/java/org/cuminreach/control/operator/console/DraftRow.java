package org.cuminreach.control.operator.console;

import java.util.Map;

/**
 * One row of a form.
 *
 * @param values texts by field, such as {@code rollout.version}
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
