package org.cuminreach.control.operator.console;

import java.util.List;

/**
 * One column of a form.
 *
 * @param path field of the document, within its row
 * @param label what the operator reads
 * @param kind how the text becomes JSON
 * @param hint an example or the default
 */
record DraftField(String path, String label, Kind kind, String hint) {
    /** How the text of a field becomes JSON. */
    enum Kind {
        /** As a text. */
        TEXT,
        /** As a whole number, or as a text that the check then refuses. */
        NUMBER,
        /** As true when ticked. */
        FLAG
    }

    static final List<DraftField> SERVICE =
            List.of(
                    new DraftField("name", "Name", Kind.TEXT, "arkiv"),
                    new DraftField("version", "Version in force", Kind.TEXT, "2026.10"),
                    new DraftField("rollout.version", "Move to version", Kind.TEXT, ""),
                    new DraftField(
                            "rollout.sharePerMille", "Share, per mille", Kind.NUMBER, "1000"),
                    new DraftField("rollout.doneBy", "Done by", Kind.TEXT, "2026-12-05T06:00:00Z"));

    static final List<DraftField> ROUTE =
            List.of(
                    new DraftField("name", "Name", Kind.TEXT, "catalogue"),
                    new DraftField("host", "Host", Kind.TEXT, "arkiv.example"),
                    new DraftField("pathPrefix", "Path prefix", Kind.TEXT, "/"),
                    new DraftField("service", "Service", Kind.TEXT, "arkiv"),
                    new DraftField("timeoutMillis", "Timeout, ms", Kind.NUMBER, "5000"),
                    new DraftField("idempotent", "May run twice", Kind.FLAG, ""));
}
