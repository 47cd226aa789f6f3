package org.cuminreach.control.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.settings.Fault;

/** Builds the JSON answers of the operator interface. */
final class OperatorJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private OperatorJson() {}

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    static HttpAnswer answer(int status, ObjectNode body) {
        return HttpAnswer.of(status, "application/json", body.toPrettyString() + "\n");
    }

    static HttpAnswer refused(int status, String reason) {
        return outcome(status, "refused", reason);
    }

    static HttpAnswer outcome(int status, String outcome, String reason) {
        return answer(status, newObject().put("outcome", outcome).put("reason", reason));
    }

    static HttpAnswer accepted(long version) {
        return answer(200, newObject().put("outcome", "accepted").put("version", version));
    }

    static HttpAnswer refusedAsStale(long currentVersion) {
        return answer(
                409,
                newObject()
                        .put("outcome", "refused_as_stale")
                        .put("currentVersion", currentVersion)
                        .put("reason", "another document was accepted in the meantime"));
    }

    static HttpAnswer refusedAsFaulty(List<Fault> faults) {
        ObjectNode body = newObject().put("outcome", "refused_as_faulty");
        ArrayNode list = body.putArray("faults");
        faults.forEach(
                fault -> list.addObject().put("path", fault.path()).put("reason", fault.reason()));
        return answer(422, body);
    }
}
