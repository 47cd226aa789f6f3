package org.cuminreach.control.operator.console;

import java.util.List;

/**
 * One column of a form.
 *
 * @param path field of the document, within its row
 * @param label what the operator reads
 * @param type how the text becomes JSON
 * @param placeholder an example or the default
 */
record DraftField(String path, String label, ValueType type, String placeholder) {
    /** How the text of a field becomes JSON. */
    enum ValueType {
        /** As a text. */
        TEXT,
        /** As a whole number, or as a text that the check then refuses. */
        NUMBER,
        /** As true when ticked. */
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
