package org.cuminreach.control.operator.console;

import static j2html.TagCreator.each;
import static j2html.TagCreator.table;
import static j2html.TagCreator.td;
import static j2html.TagCreator.th;
import static j2html.TagCreator.tr;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.control.evacuation.EvacuationOrders;
import org.cuminreach.control.node.NodeSessionManager;
import org.cuminreach.control.replica.PeerConnections;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.control.replica.SubmitResult;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;
import org.cuminreach.settings.ParseResult;

/** Serves the pages of the web console. */
public final class ConsoleHandler implements HttpHandler {
    private static final int MAX_FORM_FIELDS = 50_000;
    private static final StyleSheet STYLE_SHEET = StyleSheet.load();

    private final ReplicaDriver replica;
    private final PeerConnections peers;
    private final OverviewPage overview;
    private final EvacuationPages evacuations;

    private ConsoleHandler(
            ReplicaDriver replica,
            PeerConnections peers,
            OverviewPage overview,
            EvacuationPages evacuations) {
        this.replica = replica;
        this.peers = peers;
        this.overview = overview;
        this.evacuations = evacuations;
    }

    /**
     * Creates the console of a control.
     *
     * @param control name of the control
     * @param replica holds the committed configuration
     * @param peers connections that forward submissions to the leader
     * @param sessions sessions of the nodes
     * @param evacuations orders to evacuate data centres
     * @return the console
     */
    public static ConsoleHandler create(
            String control,
            ReplicaDriver replica,
            PeerConnections peers,
            NodeSessionManager sessions,
            EvacuationOrders evacuations) {
        return new ConsoleHandler(
                replica,
                peers,
                new OverviewPage(control, replica, sessions),
                new EvacuationPages(evacuations));
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        return switch (call.method() + " " + call.path()) {
            case "GET /" -> completed(overview.render(ProcessClock.monotonicMillis()));
            case "GET /console/document" -> completed(documentEditor());
            case "POST /console/preview" -> completed(preview(formFields(call)));
            case "POST /console/submit" -> submit(call);
            case "GET /console/evacuations" -> completed(evacuations.list());
            case "POST /console/evacuations" -> orderEvacuation(call);
            case "GET /console/history" -> completed(history());
            case "GET /console/style.css" -> completed(STYLE_SHEET.toAnswer());
            default ->
                    completed(
                            DocumentPages.error(
                                    404, "Not found", "There is no such page.", List.of()));
        };
    }

    private CompletableFuture<HttpAnswer> orderEvacuation(HttpCall call) {
        Map<String, List<String>> form = formFields(call);
        return evacuations.order(
                "console at " + call.remoteHost(),
                firstValue(form, EvacuationPages.DATA_CENTRE),
                firstValue(form, EvacuationPages.EVACUATE));
    }

    private HttpAnswer documentEditor() {
        MeshConfiguration configuration = replica.configuration();
        if (!DocumentDraft.canRepresent(configuration.document())) {
            return DocumentPages.error(
                    409,
                    "Not to be edited here",
                    "The document in force has fields that the form does not show and would drop."
                            + " Change it with cuminreach-control submit.",
                    List.of());
        }
        return DocumentPages.editor(
                DocumentDraft.of(configuration.document()),
                configuration.documentVersion(),
                List.of());
    }

    private HttpAnswer preview(Map<String, List<String>> form) {
        OptionalLong basedOn = parseLong(form, DocumentPages.BASED_ON);
        if (basedOn.isEmpty()) {
            return DocumentPages.error(400, "Not a form of this console", "", List.of());
        }
        DocumentDraft draft = DocumentDraft.of(form);
        return switch (DocumentReader.read(draft.toJson())) {
            case ParseResult.Invalid<MeshDocument> invalid ->
                    DocumentPages.editor(draft, basedOn.getAsLong(), invalid.faults());
            case ParseResult.Valid<MeshDocument> valid ->
                    DocumentPages.preview(
                            DocumentDraft.of(replica.configuration().document()).toJson(),
                            draft,
                            basedOn.getAsLong(),
                            UUID.randomUUID().toString());
        };
    }

    private CompletableFuture<HttpAnswer> submit(HttpCall call) {
        Map<String, List<String>> form = formFields(call);
        OptionalLong basedOn = parseLong(form, DocumentPages.BASED_ON);
        String key = firstValue(form, DocumentPages.IDEMPOTENCY_KEY);
        String document = firstValue(form, DocumentPages.DOCUMENT);
        if (basedOn.isEmpty() || key.isEmpty()) {
            return completed(DocumentPages.error(400, "Not a form of this console", "", List.of()));
        }
        MeshCommand.SubmitDocument command =
                new MeshCommand.SubmitDocument(
                        "console at " + call.remoteHost(),
                        key,
                        basedOn.getAsLong(),
                        document,
                        ProcessClock.wallMillis());
        Map<String, String> submission =
                Map.of(
                        DocumentPages.BASED_ON, Long.toString(basedOn.getAsLong()),
                        DocumentPages.IDEMPOTENCY_KEY, key,
                        DocumentPages.DOCUMENT, document);
        return peers.submit(command, ProcessClock.monotonicMillis())
                .thenApply(result -> toPage(result, submission));
    }

    private static HttpAnswer toPage(SubmitResult result, Map<String, String> submission) {
        return switch (result) {
            case SubmitResult.Decided decided -> toPage(decided.outcome());
            case SubmitResult.NotRun notRun ->
                    DocumentPages.error(503, "Not run", notRun.reason(), List.of());
            case SubmitResult.Unknown unknown ->
                    DocumentPages.outcomeUnknown(unknown.reason(), submission);
        };
    }

    private static HttpAnswer toPage(SubmissionOutcome outcome) {
        return switch (outcome) {
            case SubmissionOutcome.Accepted accepted -> DocumentPages.accepted(accepted.version());
            case SubmissionOutcome.RefusedAsStale stale ->
                    DocumentPages.error(
                            409,
                            "Refused: another document was accepted in the meantime",
                            "Version " + stale.currentVersion() + " is in force now.",
                            List.of());
            case SubmissionOutcome.RefusedAsFaulty faulty ->
                    DocumentPages.error(422, "Refused", "Nothing was changed.", faulty.faults());
        };
    }

    private HttpAnswer history() {
        return ConsoleLayout.page(
                200,
                "History",
                table(
                        tr(th("Version"), th("At"), th("By"), th("What")),
                        each(
                                replica.history().reversed(),
                                entry ->
                                        tr(
                                                td(Long.toString(entry.version())),
                                                td(
                                                        Instant.ofEpochMilli(entry.atMillis())
                                                                .toString()),
                                                td(entry.actor()),
                                                td(entry.event())))));
    }

    private static Map<String, List<String>> formFields(HttpCall call) {
        String body = new String(call.body(), StandardCharsets.UTF_8);
        return new QueryStringDecoder(body, StandardCharsets.UTF_8, false, MAX_FORM_FIELDS)
                .parameters();
    }

    private static String firstValue(Map<String, List<String>> form, String name) {
        return form.getOrDefault(name, List.of("")).getFirst();
    }

    private static OptionalLong parseLong(Map<String, List<String>> form, String name) {
        try {
            return OptionalLong.of(Long.parseLong(firstValue(form, name)));
        } catch (NumberFormatException malformed) {
            return OptionalLong.empty();
        }
    }

    private static CompletableFuture<HttpAnswer> completed(HttpAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
