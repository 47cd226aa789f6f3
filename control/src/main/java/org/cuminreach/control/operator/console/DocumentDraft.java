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
 * The contents of the document form, as strings. Rows have the same indexes as in the resulting
 * document, so that the path of a fault identifies its field in the form.
 *
 * @param services rows of the services table
 * @param routes rows of the routes table
 * @param rolloutPriority selected rollout priority
 */
record DocumentDraft(List<DraftRow> services, List<DraftRow> routes, String rolloutPriority) {
    static final String SERVICES = "services";
    static final String ROUTES = "routes";
    static final String ROLLOUT_PRIORITY = "rolloutPriority";

    private static final Pattern ROW_FIELD =
            Pattern.compile("(services|routes)\\[(\\d{1,5})]\\.([a-zA-Z.]+)");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    DocumentDraft {
        services = List.copyOf(services);
        routes = List.copyOf(routes);
    }

    /** Returns the draft of a document. */
    static DocumentDraft of(MeshDocument document) {
        return new DocumentDraft(
                document.services().stream().map(DocumentDraft::toRow).toList(),
                document.routes().stream().map(DocumentDraft::toRow).toList(),
                document.rolloutPriority().name().toLowerCase(Locale.ROOT));
    }

    /** Reads the fields of a submitted form; blank rows are dropped. */
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
                nonBlankRows(services),
                nonBlankRows(routes),
                form.getOrDefault(ROLLOUT_PRIORITY, List.of("")).getFirst());
    }

    /** Returns the resulting document as JSON. */
    String toJson() {
        ObjectNode document = MAPPER.createObjectNode();
        putRows(document.putArray(SERVICES), services, DraftField.SERVICE_FIELDS);
        putRows(document.putArray(ROUTES), routes, DraftField.ROUTE_FIELDS);
        if (!rolloutPriority.isBlank()) {
            document.put(ROLLOUT_PRIORITY, rolloutPriority);
        }
        return document.toPrettyString();
    }

    /**
     * Tells whether the form can represent every field of a document, so that editing loses
     * nothing.
     *
     * @param document the document
     * @return whether the draft of the document reads back as the same document
     */
    static boolean canRepresent(MeshDocument document) {
        return DocumentReader.read(of(document).toJson()).equals(new ParseResult.Valid<>(document));
    }

    private static List<DraftRow> nonBlankRows(Map<Integer, Map<String, String>> rows) {
        List<DraftRow> nonBlank = new ArrayList<>();
        for (Map<String, String> values : rows.values()) {
            DraftRow row = new DraftRow(values);
            if (!row.isBlank()) {
                nonBlank.add(row);
            }
        }
        return nonBlank;
    }

    private static DraftRow toRow(Service service) {
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

    private static DraftRow toRow(Route route) {
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
        return switch (field.type()) {
            case TEXT -> MAPPER.getNodeFactory().textNode(text);
            case BOOLEAN -> MAPPER.getNodeFactory().booleanNode(true);
            case NUMBER -> numberNode(text);
        };
    }

    private static JsonNode numberNode(String text) {
        try {
            return MAPPER.getNodeFactory().numberNode(Long.parseLong(text));
        } catch (NumberFormatException notNumeric) {
            return MAPPER.getNodeFactory().textNode(text);
        }
    }
}
