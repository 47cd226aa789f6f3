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

/** The members of the replicated log: listed by any control, changed by the leader. */
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
            case "GET" -> now(OperatorJson.of(200, members()));
            case "POST" -> change(call);
            default -> now(OperatorJson.problem(405, "members are listed by GET, changed by POST"));
        };
    }

    private CompletableFuture<HttpAnswer> change(HttpCall call) {
        Optional<MembershipRequest> request = request(call);
        if (request.isEmpty()) {
            return now(
                    OperatorJson.problem(
                            400, "give add=IDENTITY with address=IP:PORT, or remove=IDENTITY"));
        }
        if (!replica.isLeader()) {
            String leader = replica.leader().orElse("not known now");
            return now(notRun("this control does not lead; the leader is " + leader));
        }
        return replica.changeMembership(request.get(), ProcessClock.monotonicMillis())
                .thenApply(
                        refusal ->
                                refusal.map(reason -> OperatorJson.problem(409, reason))
                                        .orElseGet(this::begun));
    }

    private static Optional<MembershipRequest> request(HttpCall call) {
        QueryStringDecoder query = new QueryStringDecoder(call.uri());
        Optional<String> added = single(query, ADD);
        Optional<Address> address = single(query, ADDRESS).flatMap(Address::parse);
        Optional<String> removed = single(query, REMOVE);
        if (added.isPresent() && address.isPresent() && removed.isEmpty()) {
            return Optional.of(new MembershipRequest.Add(added.get(), address.get()));
        }
        return added.isPresent() ? Optional.empty() : removed.map(MembershipRequest.Remove::new);
    }

    private static Optional<String> single(QueryStringDecoder query, String name) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.size() == 1 && !values.getFirst().isEmpty()
                ? Optional.of(values.getFirst())
                : Optional.empty();
    }

    private static HttpAnswer notRun(String reason) {
        return OperatorJson.refusal(503, "not_run", reason)
                .setHeader("Retry-After", RETRY_AFTER_SECONDS);
    }

    /** The change is in force once a quorum has it; the list shows whether it came to that. */
    private HttpAnswer begun() {
        return OperatorJson.of(202, members().put("outcome", "begun"));
    }

    private ObjectNode members() {
        ObjectNode body = OperatorJson.object().put("leader", replica.leader().orElse(""));
        ArrayNode members = body.putArray("members");
        for (Member member : replica.membership().members()) {
            members.addObject()
                    .put("identity", member.id())
                    .put("address", member.address().toString())
                    .put("voter", member.voter());
        }
        return body;
    }

    private static CompletableFuture<HttpAnswer> now(HttpAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
