package org.cuminreach.control.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.MembershipRequest;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;
import org.cuminreach.settings.Address;

/** Handles {@code /members}: any control lists the Raft members, only the leader changes them. */
final class MembersHandler implements HttpHandler {
    private static final int RETRY_AFTER_SECONDS = 1;
    private static final String ADD = "add";
    private static final String REMOVE = "remove";
    private static final String ADDRESS = "address";

    private final ReplicaDriver replica;

    MembersHandler(ReplicaDriver replica) {
        this.replica = replica;
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        return switch (call.method()) {
            case "GET" -> completed(OperatorJson.answer(200, membersJson()));
            case "POST" -> changeMembership(call);
            default ->
                    completed(
                            OperatorJson.refused(
                                    405, "members are listed by GET, changed by POST"));
        };
    }

    private CompletableFuture<HttpAnswer> changeMembership(HttpCall call) {
        Optional<MembershipRequest> request = parseRequest(call);
        if (request.isEmpty()) {
            return completed(
                    OperatorJson.refused(
                            400, "give add=IDENTITY with address=IP:PORT, or remove=IDENTITY"));
        }
        if (!replica.isLeader()) {
            String leader = replica.leader().orElse("not known now");
            return completed(notRun("this control does not lead; the leader is " + leader));
        }
        return replica.changeMembership(request.get(), ProcessClock.monotonicMillis())
                .thenApply(
                        refusal ->
                                refusal.map(reason -> OperatorJson.refused(409, reason))
                                        .orElseGet(this::changeStarted));
    }

    private static Optional<MembershipRequest> parseRequest(HttpCall call) {
        QueryStringDecoder query = new QueryStringDecoder(call.uri());
        Optional<String> added = singleParameter(query, ADD);
        Optional<Address> address = singleParameter(query, ADDRESS).flatMap(Address::parse);
        Optional<String> removed = singleParameter(query, REMOVE);
        if (added.isPresent() && address.isPresent() && removed.isEmpty()) {
            return Optional.of(new MembershipRequest.Add(added.get(), address.get()));
        }
        return added.isPresent() ? Optional.empty() : removed.map(MembershipRequest.Remove::new);
    }

    private static Optional<String> singleParameter(QueryStringDecoder query, String name) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.size() == 1 && !values.getFirst().isEmpty()
                ? Optional.of(values.getFirst())
                : Optional.empty();
    }

    private static HttpAnswer notRun(String reason) {
        return OperatorJson.outcome(503, "not_run", reason)
                .setHeader("Retry-After", RETRY_AFTER_SECONDS);
    }

    /**
     * Answers 202 since the change takes effect only once a quorum has stored it; the member list
     * shows whether it did.
     */
    private HttpAnswer changeStarted() {
        return OperatorJson.answer(202, membersJson().put("outcome", "begun"));
    }

    private ObjectNode membersJson() {
        ObjectNode body = OperatorJson.newObject().put("leader", replica.leader().orElse(""));
        ArrayNode members = body.putArray("members");
        for (Member member : replica.membership().members()) {
            members.addObject()
                    .put("identity", member.id())
                    .put("address", member.address().toString())
                    .put("voter", member.voter());
        }
        return body;
    }

    private static CompletableFuture<HttpAnswer> completed(HttpAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
