package org.cuminreach.control.operator.console;

import static j2html.TagCreator.a;
import static j2html.TagCreator.button;
import static j2html.TagCreator.div;
import static j2html.TagCreator.each;
import static j2html.TagCreator.form;
import static j2html.TagCreator.h2;
import static j2html.TagCreator.input;
import static j2html.TagCreator.option;
import static j2html.TagCreator.p;
import static j2html.TagCreator.pre;
import static j2html.TagCreator.select;
import static j2html.TagCreator.table;
import static j2html.TagCreator.td;
import static j2html.TagCreator.th;
import static j2html.TagCreator.tr;

import com.github.difflib.text.DiffRow;
import com.github.difflib.text.DiffRowGenerator;
import j2html.tags.DomContent;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.settings.Fault;

/** Renders the document form, the preview of its changes and the outcome of a submission. */
final class DocumentPages {
    static final String BASED_ON = "basedOn";
    static final String IDEMPOTENCY_KEY = "key";
    static final String DOCUMENT = "document";

    private static final int BLANK_ROWS = 2;

    private DocumentPages() {}

    static HttpAnswer editor(DocumentDraft draft, long basedOn, List<Fault> faults) {
        return ConsoleLayout.page(
                faults.isEmpty() ? 200 : 422,
                "Document, from version " + basedOn,
                faults.isEmpty()
                        ? p("Empty rows are left out. Nothing is sent before a preview.")
                        : ConsoleLayout.faultList(faults),
                form(
                                hidden(BASED_ON, Long.toString(basedOn)),
                                h2("Services"),
                                rows(
                                        DocumentDraft.SERVICES,
                                        draft.services(),
                                        DraftField.SERVICE_FIELDS,
                                        faults),
                                h2("Routes"),
                                rows(
                                        DocumentDraft.ROUTES,
                                        draft.routes(),
                                        DraftField.ROUTE_FIELDS,
                                        faults),
                                h2("What rollouts favour when evidence is thin"),
                                prioritySelect(draft.rolloutPriority()),
                                p(button("Preview").withType("submit")))
                        .withMethod("post")
                        .withAction("/console/preview"));
    }

    static HttpAnswer preview(String current, DocumentDraft draft, long basedOn, String key) {
        String next = draft.toJson();
        List<DiffRow> rows =
                DiffRowGenerator.create()
                        .build()
                        .generateDiffRows(current.lines().toList(), next.lines().toList());
        return ConsoleLayout.page(
                200,
                "What would change",
                table(each(rows, DocumentPages::diffRow)).withClass("difference"),
                form(
                                hidden(BASED_ON, Long.toString(basedOn)),
                                hidden(IDEMPOTENCY_KEY, key),
                                hidden(DOCUMENT, next),
                                p(button("Accept and submit").withType("submit")))
                        .withMethod("post")
                        .withAction("/console/submit"),
                p(a("Back to the document in force").withHref("/console/document")));
    }

    static HttpAnswer accepted(long version) {
        return ConsoleLayout.page(
                200,
                "Accepted as version " + version,
                p("It is agreed and durable, and on its way to every node."),
                p(a("Watch it land").withHref("/")));
    }

    static HttpAnswer error(int status, String heading, String reason, List<Fault> faults) {
        return ConsoleLayout.page(
                status,
                heading,
                p(reason),
                ConsoleLayout.faultList(faults),
                p(a("Open the document in force").withHref("/console/document")));
    }

    /** Offers to resend the same submission, which gets the outcome of the first. */
    static HttpAnswer outcomeUnknown(String reason, Map<String, String> fields) {
        return ConsoleLayout.page(
                504,
                "The outcome is not known",
                p(reason),
                form(
                                each(
                                        List.copyOf(fields.entrySet()),
                                        field -> hidden(field.getKey(), field.getValue())),
                                p(button("Ask again what came of it").withType("submit")))
                        .withMethod("post")
                        .withAction("/console/submit"));
    }

    private static DomContent rows(
            String list, List<DraftRow> filledRows, List<DraftField> fields, List<Fault> faults) {
        List<DraftRow> rows = new ArrayList<>(filledRows);
        for (int blank = 0; blank < BLANK_ROWS; blank++) {
            rows.add(new DraftRow(Map.of()));
        }
        List<DomContent> tableRows = new ArrayList<>();
        for (int index = 0; index < rows.size(); index++) {
            String prefix = list + "[" + index + "].";
            DraftRow row = rows.get(index);
            tableRows.add(tr(each(fields, field -> td(cell(prefix, field, row, faults)))));
        }
        return table(tr(each(fields, field -> th(field.label()))), each(tableRows, row -> row));
    }

    private static DomContent cell(
            String prefix, DraftField field, DraftRow row, List<Fault> faults) {
        String path = prefix + field.path();
        List<Fault> cellFaults =
                faults.stream().filter(fault -> fault.path().equals(path)).toList();
        var element = input().withName(path).withCondClass(!cellFaults.isEmpty(), "faulty");
        var typedElement =
                field.type() == DraftField.ValueType.BOOLEAN
                        ? element.withType("checkbox")
                                .withValue("true")
                                .withCondChecked(!row.value(field.path()).isBlank())
                        : element.withValue(row.value(field.path()))
                                .withPlaceholder(field.placeholder());
        return div(typedElement, each(cellFaults, fault -> p(fault.reason()).withClass("fault")));
    }

    private static DomContent prioritySelect(String selected) {
        return select(
                        each(
                                List.of(RolloutPriority.values()),
                                priority -> {
                                    String name = priority.name().toLowerCase(Locale.ROOT);
                                    return option(name)
                                            .withValue(name)
                                            .withCondSelected(name.equals(selected));
                                }))
                .withName(DocumentDraft.ROLLOUT_PRIORITY);
    }

    private static DomContent diffRow(DiffRow row) {
        boolean removed = !row.getOldLine().isEmpty() && row.getTag() != DiffRow.Tag.EQUAL;
        boolean added = !row.getNewLine().isEmpty() && row.getTag() != DiffRow.Tag.EQUAL;
        return tr(
                td(pre(row.getOldLine())).withCondClass(removed, "removed"),
                td(pre(row.getNewLine())).withCondClass(added, "added"));
    }

    private static DomContent hidden(String name, String value) {
        return input().withType("hidden").withName(name).withValue(value);
    }
}
