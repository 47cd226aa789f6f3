package org.cuminreach.control.operator;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.control.evacuation.EvacuationOrders;
import org.cuminreach.control.operator.console.ConsoleHandler;
import org.cuminreach.control.replica.PeerConnections;
import org.cuminreach.control.replica.SubmitResult;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;

/** Handles the HTTP requests of operators. */
public final class OperatorHandler implements HttpHandler {
    /** Header with the idempotency key of a submission; a resend gets the outcome of the first. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** Header with the name of the operator that is recorded in the history. */
    public static final String OPERATOR_HEADER = "X-Cuminreach-Operator";

    private static final int RETRY_AFTER_SECONDS = 1;

    private final PeerConnections peers;
    private final OperatorView view;
    private final MembersHandler members;
    private final EvacuationsHandler evacuations;
    private final ConsoleHandler console;

    private OperatorHandler(
            PeerConnections peers,
            OperatorView view,
            EvacuationOrders evacuations,
            ConsoleHandler console) {
        this.peers = peers;
        this.view = view;
        this.members = new MembersHandler(view.replica());
        this.evacuations = new EvacuationsHandler(evacuations);
        this.console = console;
    }

    /**
     * Creates the handler.
     *
     * @param peers connections that forward submissions to the leader
     * @param view answers reads
     * @param evacuations orders to evacuate data centres
     * @param console handles all other paths
     * @return the handler
     */
    public static OperatorHandler create(
            PeerConnections peers,
            OperatorView view,
            EvacuationOrders evacuations,
            ConsoleHandler console) {
        return new OperatorHandler(peers, view, evacuations, console);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        return switch (call.method() + " " + call.path()) {
            case "POST /documents" -> submit(call);
            case "GET /documents/current" -> completed(view.currentDocument());
            case "GET /status" -> completed(view.status());
            case "GET /members", "POST /members" -> members.handle(call);
            case "GET /evacuations", "POST /evacuations" -> evacuations.handle(call);
            case "GET /convergence" -> completed(convergence(call));
            case "GET /history" -> completed(view.history());
            default -> console.handle(call);
        };
    }

    private CompletableFuture<HttpAnswer> submit(HttpCall call) {
        OptionalLong basedOn = nonNegativeParameter(call, "basedOn");
        if (basedOn.isEmpty()) {
            return completed(
                    OperatorJson.refused(400, "basedOn must be a whole number, 0 or more"));
        }
        String key = call.header(IDEMPOTENCY_KEY_HEADER, "");
        if (key.isEmpty()) {
            return completed(
                    OperatorJson.refused(
                            400, "the header " + IDEMPOTENCY_KEY_HEADER + " is missing"));
        }
        if (call.body().length > DocumentReader.MAX_DOCUMENT_BYTES) {
            String limit = "a document has " + DocumentReader.MAX_DOCUMENT_BYTES + " bytes at most";
            return completed(OperatorJson.refused(413, limit));
        }
        MeshCommand.SubmitDocument command =
                new MeshCommand.SubmitDocument(
                        call.header(OPERATOR_HEADER, call.remoteHost()),
                        key,
                        basedOn.getAsLong(),
                        new String(call.body(), StandardCharsets.UTF_8),
                        ProcessClock.wallMillis());
        return peers.submit(command, ProcessClock.monotonicMillis())
                .thenApply(OperatorHandler::toAnswer);
    }

    private HttpAnswer convergence(HttpCall call) {
        OptionalLong version = nonNegativeParameter(call, "version");
        return version.isPresent()
                ? view.convergence(version.getAsLong())
                : OperatorJson.refused(400, "version must be a whole number, 0 or more");
    }

    private static OptionalLong nonNegativeParameter(HttpCall call, String name) {
        List<String> values =
                new QueryStringDecoder(call.uri()).parameters().getOrDefault(name, List.of());
        if (values.size() != 1) {
            return OptionalLong.empty();
        }
        try {
            long value = Long.parseLong(values.getFirst());
            return value < 0 ? OptionalLong.empty() : OptionalLong.of(value);
        } catch (NumberFormatException malformed) {
            return OptionalLong.empty();
        }
    }

    static HttpAnswer toAnswer(SubmitResult result) {
        return switch (result) {
            case SubmitResult.Decided decided -> toAnswer(decided.outcome());
            case SubmitResult.NotRun notRun ->
                    OperatorJson.outcome(503, "not_run", notRun.reason())
                            .setHeader("Retry-After", RETRY_AFTER_SECONDS);
            case SubmitResult.Unknown unknown ->
                    OperatorJson.outcome(
                                    504,
                                    "unknown",
                                    unknown.reason()
                                            + "; send it again with the same "
                                            + IDEMPOTENCY_KEY_HEADER
                                            + " to learn what came of it")
                            .setHeader("Retry-After", RETRY_AFTER_SECONDS);
        };
    }

    private static HttpAnswer toAnswer(SubmissionOutcome outcome) {
        return switch (outcome) {
            case SubmissionOutcome.Accepted accepted -> OperatorJson.accepted(accepted.version());
            case SubmissionOutcome.RefusedAsStale stale ->
                    OperatorJson.refusedAsStale(stale.currentVersion());
            case SubmissionOutcome.RefusedAsFaulty faulty ->
                    OperatorJson.refusedAsFaulty(faulty.faults());
        };
    }

    private static CompletableFuture<HttpAnswer> completed(HttpAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
