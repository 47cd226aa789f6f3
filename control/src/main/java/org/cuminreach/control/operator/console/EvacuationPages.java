package org.cuminreach.control.operator.console;

import static j2html.TagCreator.a;
import static j2html.TagCreator.button;
import static j2html.TagCreator.each;
import static j2html.TagCreator.form;
import static j2html.TagCreator.input;
import static j2html.TagCreator.p;
import static j2html.TagCreator.table;
import static j2html.TagCreator.td;
import static j2html.TagCreator.th;
import static j2html.TagCreator.tr;

import j2html.tags.DomContent;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.control.evacuation.EvacuationOrders;
import org.cuminreach.control.replica.SubmitResult;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.runtime.http.HttpAnswer;

/** Renders the data centres with a button for each evacuation, and the outcome of an order. */
final class EvacuationPages {
    static final String DATA_CENTRE = "dataCentre";
    static final String EVACUATE = "evacuate";

    private final EvacuationOrders evacuations;

    EvacuationPages(EvacuationOrders evacuations) {
        this.evacuations = evacuations;
    }

    HttpAnswer list() {
        return ConsoleLayout.page(
                200,
                "Data centres",
                p(
                        "Targets in an evacuated data centre get no calls; its callers are still"
                                + " served, by targets elsewhere."),
                table(
                        tr(th("Data centre"), th("State"), th("")),
                        each(List.copyOf(evacuations.knownDataCentres()), this::row)));
    }

    private DomContent row(String dataCentre) {
        boolean evacuated = evacuations.evacuated().contains(dataCentre);
        return tr(
                td(dataCentre),
                td(evacuated ? "evacuated" : "in use").withCondClass(evacuated, "warning"),
                td(
                        form(
                                        hidden(DATA_CENTRE, dataCentre),
                                        hidden(EVACUATE, Boolean.toString(!evacuated)),
                                        button(evacuated ? "End the evacuation" : "Evacuate")
                                                .withType("submit"))
                                .withMethod("post")
                                .withAction("/console/evacuations")));
    }

    CompletableFuture<HttpAnswer> order(String operator, String dataCentre, String evacuate) {
        if (!List.of("true", "false").contains(evacuate)) {
            return CompletableFuture.completedFuture(
                    DocumentPages.error(400, "Not a form of this console", "", List.of()));
        }
        return evacuations
                .submit(operator, dataCentre, Boolean.parseBoolean(evacuate))
                .thenApply(EvacuationPages::toPage);
    }

    private static HttpAnswer toPage(SubmitResult result) {
        return switch (result) {
            case SubmitResult.Decided decided -> toPage(decided.outcome());
            case SubmitResult.NotRun notRun ->
                    DocumentPages.error(503, "Not run", notRun.reason(), List.of());
            case SubmitResult.Unknown unknown ->
                    DocumentPages.error(
                            504,
                            "The outcome is not known",
                            unknown.reason() + "; the same order may be sent again",
                            List.of());
        };
    }

    private static HttpAnswer toPage(SubmissionOutcome outcome) {
        return switch (outcome) {
            case SubmissionOutcome.Accepted accepted ->
                    ConsoleLayout.page(
                            200,
                            "In force since version " + accepted.version(),
                            p("It is agreed and durable, and on its way to every node."),
                            p(a("See the data centres").withHref("/console/evacuations")));
            case SubmissionOutcome.RefusedAsStale stale ->
                    DocumentPages.error(409, "Refused", "Another order came first.", List.of());
            case SubmissionOutcome.RefusedAsFaulty faulty ->
                    DocumentPages.error(422, "Refused", "Nothing was changed.", faulty.faults());
        };
    }

    private static DomContent hidden(String name, String value) {
        return input().withType("hidden").withName(name).withValue(value);
    }
}
