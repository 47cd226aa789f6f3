package org.cuminreach.control.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.settings.Fault;

/** The JSON answers of the operators' interface. */
final class OperatorJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private OperatorJson() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static HttpAnswer of(int status, ObjectNode body) {
        return HttpAnswer.of(status, "application/json", body.toPrettyString() + "\n");
    }

    static HttpAnswer problem(int status, String reason) {
        return refusal(status, "refused", reason);
    }

    static HttpAnswer refusal(int status, String outcome, String reason) {
        return of(status, object().put("outcome", outcome).put("reason", reason));
    }

    static HttpAnswer accepted(long version) {
        return of(200, object().put("outcome", "accepted").put("version", version));
    }

    static HttpAnswer stale(long currentVersion) {
        return of(
                409,
                object().put("outcome", "refused_as_stale")
                        .put("currentVersion", currentVersion)
                        .put("reason", "another document was accepted in the meantime"));
    }

    static HttpAnswer faulty(List<Fault> faults) {
        ObjectNode body = object().put("outcome", "refused_as_faulty");
        ArrayNode list = body.putArray("faults");
        faults.forEach(
                fault -> list.addObject().put("path", fault.path()).put("reason", fault.reason()));
        return of(422, body);
    }
}
