package org.cuminreach.control.operator;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.control.operator.console.ConsoleHandler;
import org.cuminreach.control.replica.PeerLinks;
import org.cuminreach.control.replica.SubmitResult;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;

/** The operators' HTTP interface. */
public final class OperatorHandler implements HttpHandler {
    /** Header that names a submission, so that a resend gets the first answer again. */
    public static final String KEY_HEADER = "Idempotency-Key";

    /** Header that names the operator, for the history. */
    public static final String OPERATOR_HEADER = "X-Cuminreach-Operator";

    private static final int RETRY_AFTER_SECONDS = 1;

    private final PeerLinks peers;
    private final OperatorView view;
    private final MembersHandler members;
    private final ConsoleHandler console;

    private OperatorHandler(PeerLinks peers, OperatorView view, ConsoleHandler console) {
        this.peers = peers;
        this.view = view;
        this.members = new MembersHandler(view.replica());
        this.console = console;
    }

    /**
     * Returns the handler.
     *
     * @param peers bring submissions to the leader
     * @param view what operators may read
     * @param console answers every other path
     * @return the handler
     */
    public static OperatorHandler create(
            PeerLinks peers, OperatorView view, ConsoleHandler console) {
        return new OperatorHandler(peers, view, console);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        return switch (call.method() + " " + call.path()) {
            case "POST /documents" -> submit(call);
            case "GET /documents/current" -> now(view.currentDocument());
            case "GET /status" -> now(view.status());
            case "GET /members", "POST /members" -> members.handle(call);
            case "GET /convergence" -> now(convergence(call));
            case "GET /history" -> now(view.history());
            default -> console.handle(call);
        };
    }

    private CompletableFuture<HttpAnswer> submit(HttpCall call) {
        OptionalLong basedOn = number(call, "basedOn");
        if (basedOn.isEmpty()) {
            return now(OperatorJson.problem(400, "basedOn must be a whole number, 0 or more"));
        }
        String key = call.header(KEY_HEADER, "");
        if (key.isEmpty()) {
            return now(OperatorJson.problem(400, "the header " + KEY_HEADER + " is missing"));
        }
        if (call.body().length > DocumentReader.MAX_DOCUMENT_BYTES) {
            String limit = "a document has " + DocumentReader.MAX_DOCUMENT_BYTES + " bytes at most";
            return now(OperatorJson.problem(413, limit));
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
        OptionalLong version = number(call, "version");
        return version.isPresent()
                ? view.convergence(version.getAsLong())
                : OperatorJson.problem(400, "version must be a whole number, 0 or more");
    }

    private static OptionalLong number(HttpCall call, String name) {
        List<String> values =
                new QueryStringDecoder(call.target()).parameters().getOrDefault(name, List.of());
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

    private static HttpAnswer toAnswer(SubmitResult result) {
        return switch (result) {
            case SubmitResult.Decided decided -> toAnswer(decided.outcome());
            case SubmitResult.NotRun notRun ->
                    OperatorJson.refusal(503, "not_run", notRun.reason())
                            .with("Retry-After", RETRY_AFTER_SECONDS);
            case SubmitResult.Unknown unknown ->
                    OperatorJson.refusal(
                                    504,
                                    "unknown",
                                    unknown.reason()
                                            + "; send it again with the same "
                                            + KEY_HEADER
                                            + " to learn what came of it")
                            .with("Retry-After", RETRY_AFTER_SECONDS);
        };
    }

    private static HttpAnswer toAnswer(SubmissionOutcome outcome) {
        return switch (outcome) {
            case SubmissionOutcome.Accepted accepted -> OperatorJson.accepted(accepted.version());
            case SubmissionOutcome.RefusedAsStale stale ->
                    OperatorJson.stale(stale.currentVersion());
            case SubmissionOutcome.RefusedAsFaulty faulty -> OperatorJson.faulty(faulty.faults());
        };
    }

    private static CompletableFuture<HttpAnswer> now(HttpAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
