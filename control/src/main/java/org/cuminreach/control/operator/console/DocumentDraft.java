package org.cuminreach.control.operator.console;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.document.Idempotence;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;
import org.cuminreach.settings.ParseResult;

/**
 * What an operator has filled in, as texts. Rows are numbered as in the document that they become,
 * so that the path of a fault names its field in the form.
 *
 * @param services rows of services
 * @param routes rows of routes
 * @param rolloutPriority chosen priority
 */
record DocumentDraft(List<DraftRow> services, List<DraftRow> routes, String rolloutPriority) {
    static final String SERVICES = "services";
    static final String ROUTES = "routes";
    static final String PRIORITY = "rolloutPriority";

    private static final Pattern ROW_FIELD =
            Pattern.compile("(services|routes)\\[(\\d{1,5})]\\.([a-zA-Z.]+)");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    DocumentDraft {
        services = List.copyOf(services);
        routes = List.copyOf(routes);
    }

    /** Returns the draft of a document that is in force. */
    static DocumentDraft of(MeshDocument document) {
        return new DocumentDraft(
                document.services().stream().map(DocumentDraft::row).toList(),
                document.routes().stream().map(DocumentDraft::row).toList(),
                document.rolloutPriority().name().toLowerCase(Locale.ROOT));
    }

    /** Reads the fields of a posted form; blank rows are left out. */
    static DocumentDraft of(Map<String, List<String>> form) {
        Map<Integer, Map<String, String>> services = new TreeMap<>();
        Map<Integer, Map<String, String>> routes = new TreeMap<>();
        form.forEach(
                (name, values) -> {
                    Matcher field = ROW_FIELD.matcher(name);
                    if (field.matches()) {
                        Map<Integer, Map<String, String>> rows =
                                field.group(1).equals(SERVICES) ? services : routes;
                        rows.computeIfAbsent(
                                        Integer.parseInt(field.group(2)), row -> new HashMap<>())
                                .put(field.group(3), values.getFirst().strip());
                    }
                });
        return new DocumentDraft(
                filled(services),
                filled(routes),
                form.getOrDefault(PRIORITY, List.of("")).getFirst());
    }

    /** Returns the document that this draft becomes, as JSON. */
    String toJson() {
        ObjectNode document = MAPPER.createObjectNode();
        putRows(document.putArray(SERVICES), services, DraftField.SERVICE);
        putRows(document.putArray(ROUTES), routes, DraftField.ROUTE);
        if (!rolloutPriority.isBlank()) {
            document.put(PRIORITY, rolloutPriority);
        }
        return document.toPrettyString();
    }

    /**
     * Tells whether the form holds all of a document, so that nothing is lost by editing it.
     *
     * @param document the document
     * @return whether the form's text reads as the same document
     */
    static boolean showsWhole(MeshDocument document) {
        return DocumentReader.read(of(document).toJson()).equals(new ParseResult.Valid<>(document));
    }

    private static List<DraftRow> filled(Map<Integer, Map<String, String>> rows) {
        List<DraftRow> filled = new ArrayList<>();
        for (Map<String, String> values : rows.values()) {
            DraftRow row = new DraftRow(values);
            if (!row.isBlank()) {
                filled.add(row);
            }
        }
        return filled;
    }

    private static DraftRow row(Service service) {
        Map<String, String> values = new HashMap<>();
        values.put("name", service.name());
        service.version().ifPresent(version -> values.put("version", version));
        service.rollout()
                .ifPresent(
                        rollout -> {
                            values.put("rollout.version", rollout.version());
                            values.put(
                                    "rollout.sharePerMille",
                                    Integer.toString(rollout.sharePerMille()));
                            values.put("rollout.doneBy", rollout.doneBy().toString());
                        });
        return new DraftRow(values);
    }

    private static DraftRow row(Route route) {
        Map<String, String> values = new HashMap<>();
        values.put("name", route.name());
        values.put("host", route.host());
        values.put("pathPrefix", route.pathPrefix());
        values.put("service", route.destinations().getFirst().service());
        values.put("timeoutMillis", Integer.toString(route.timeoutMillis()));
        if (route.idempotence() == Idempotence.ALWAYS) {
            values.put("idempotent", "true");
        }
        return new DraftRow(values);
    }

    private static void putRows(ArrayNode array, List<DraftRow> rows, List<DraftField> fields) {
        for (DraftRow row : rows) {
            ObjectNode object = array.addObject();
            for (DraftField field : fields) {
                String text = row.value(field.path());
                if (!text.isBlank()) {
                    put(object, field, text);
                }
            }
        }
    }

    private static void put(ObjectNode row, DraftField field, String text) {
        ObjectNode object = row;
        String name = field.path();
        int dot = name.indexOf('.');
        if (dot > 0) {
            object = row.withObject("/" + name.substring(0, dot));
            name = name.substring(dot + 1);
        }
        object.set(name, valueNode(field, text));
    }

    private static JsonNode valueNode(DraftField field, String text) {
        return switch (field.kind()) {
            case TEXT -> MAPPER.getNodeFactory().textNode(text);
            case FLAG -> MAPPER.getNodeFactory().booleanNode(true);
            case NUMBER -> numberNode(text);
        };
    }

    private static JsonNode numberNode(String text) {
        try {
            return MAPPER.getNodeFactory().numberNode(Long.parseLong(text));
        } catch (NumberFormatException noNumber) {
            return MAPPER.getNodeFactory().textNode(text);
        }
    }
}
