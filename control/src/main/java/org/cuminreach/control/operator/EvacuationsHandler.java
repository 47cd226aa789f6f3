package org.cuminreach.control.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.control.evacuation.EvacuationOrders;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;

/** Lists the evacuated data centres, and starts or ends the evacuation of one. */
final class EvacuationsHandler implements HttpHandler {
    private static final String START = "start";
    private static final String END = "end";

    private final EvacuationOrders evacuations;

    EvacuationsHandler(EvacuationOrders evacuations) {
        this.evacuations = evacuations;
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        return switch (call.method()) {
            case "GET" -> CompletableFuture.completedFuture(list());
            case "POST" -> order(call);
            default ->
                    CompletableFuture.completedFuture(
                            OperatorJson.refused(
                                    405, "evacuations are listed by GET, changed by POST"));
        };
    }

    private HttpAnswer list() {
        ObjectNode body = OperatorJson.newObject();
        evacuations.evacuated().forEach(body.putArray("evacuated")::add);
        evacuations.knownDataCentres().forEach(body.putArray("dataCentres")::add);
        return OperatorJson.answer(200, body);
    }

    private CompletableFuture<HttpAnswer> order(HttpCall call) {
        QueryStringDecoder query = new QueryStringDecoder(call.uri());
        Optional<String> started = singleParameter(query, START);
        Optional<String> ended = singleParameter(query, END);
        if (started.isPresent() == ended.isPresent()) {
            return CompletableFuture.completedFuture(
                    OperatorJson.refused(400, "give either start=DATACENTRE or end=DATACENTRE"));
        }
        return evacuations
                .submit(
                        call.header(OperatorHandler.OPERATOR_HEADER, call.remoteHost()),
                        started.or(() -> ended).orElseThrow(),
                        started.isPresent())
                .thenApply(OperatorHandler::toAnswer);
    }

    private static Optional<String> singleParameter(QueryStringDecoder query, String name) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.size() == 1 && !values.getFirst().isEmpty()
                ? Optional.of(values.getFirst())
                : Optional.empty();
    }
}
