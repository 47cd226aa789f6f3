package org.cuminreach.control.operator.console;

import java.util.List;

/**
 * A column of a table in the document form.
 *
 * @param path path of the document field, relative to the row's object
 * @param label column heading
 * @param type JSON type that the entered string is converted to
 * @param placeholder example or default value
 */
record DraftField(String path, String label, ValueType type, String placeholder) {
    /** JSON type of a field. */
    enum ValueType {
        /** A string. */
        TEXT,
        /** An integer; other input stays a string, which validation then refuses. */
        NUMBER,
        /** A check box: {@code true} when checked, otherwise absent. */
        BOOLEAN
    }

    static final List<DraftField> SERVICE_FIELDS =
            List.of(
                    new DraftField("name", "Name", ValueType.TEXT, "arkiv"),
                    new DraftField("version", "Version in force", ValueType.TEXT, "2026.10"),
                    new DraftField("rollout.version", "Move to version", ValueType.TEXT, ""),
                    new DraftField(
                            "rollout.sharePerMille", "Share, per mille", ValueType.NUMBER, "1000"),
                    new DraftField(
                            "rollout.doneBy", "Done by", ValueType.TEXT, "2026-12-05T06:00:00Z"));

    static final List<DraftField> ROUTE_FIELDS =
            List.of(
                    new DraftField("name", "Name", ValueType.TEXT, "catalogue"),
                    new DraftField("host", "Host", ValueType.TEXT, "arkiv.example"),
                    new DraftField("pathPrefix", "Path prefix", ValueType.TEXT, "/"),
                    new DraftField("service", "Service", ValueType.TEXT, "arkiv"),
                    new DraftField("timeoutMillis", "Timeout, ms", ValueType.NUMBER, "5000"),
                    new DraftField("idempotent", "May run twice", ValueType.BOOLEAN, ""));
}
