package org.cuminreach.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import java.util.Optional;

/**
 * A field whose value on the command line takes precedence over the settings file.
 *
 * @param path dot-separated path of the field, such as {@code log.level}
 * @param value JSON such as {@code 30000} or {@code true}; anything else is taken as a string
 */
public record FieldOverride(String path, String value) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Parses {@code path=value}.
     *
     * @param text text to parse
     * @return the override, or empty when the path or the equals sign is missing
     */
    public static Optional<FieldOverride> parse(String text) {
        int equals = text.indexOf('=');
        if (equals < 1) {
            return Optional.empty();
        }
        return Optional.of(
                new FieldOverride(text.substring(0, equals), text.substring(equals + 1)));
    }

    void applyTo(ObjectNode root, List<Fault> faults) {
        String[] names = path.split("\\.");
        ObjectNode object = root;
        for (int index = 0; index < names.length - 1; index++) {
            JsonNode child = object.path(names[index]);
            if (child.isMissingNode()) {
                child = object.putObject(names[index]);
            }
            if (!child.isObject()) {
                faults.add(new Fault(path, "cannot be set: " + names[index] + " is no object"));
                return;
            }
            object = (ObjectNode) child;
        }
        object.set(names[names.length - 1], valueNode());
    }

    private JsonNode valueNode() {
        try {
            return MAPPER.readTree(value);
        } catch (JsonProcessingException notJson) {
            return TextNode.valueOf(value);
        }
    }
}
