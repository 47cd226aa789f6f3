package org.cuminreach.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * A JSON object whose fields are read by name and type. For an invalid field a fault is recorded
 * and a placeholder value is returned, so that one pass finds all faults.
 */
public final class CheckedObject {
    private static final Pattern NAME_PATTERN =
            Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");

    private final String path;
    private final JsonNode node;
    private final List<Fault> faults;
    private final Set<String> knownFields = new HashSet<>();

    CheckedObject(String path, JsonNode node, List<Fault> faults) {
        this.path = path;
        this.node = node;
        this.faults = faults;
    }

    /**
     * Returns whether a field is present and not null.
     *
     * @param field name of the field
     * @return true when it has a value
     */
    public boolean has(String field) {
        knownFields.add(field);
        return node.hasNonNull(field);
    }

    /**
     * Reads a required string.
     *
     * @param field name of the field
     * @return the string, or an empty one when invalid
     */
    public String text(String field) {
        if (!has(field)) {
            addFault(field, "is missing; a text is needed");
            return "";
        }
        JsonNode value = node.get(field);
        if (!value.isTextual()) {
            addFault(field, "is " + value + "; a text is needed");
            return "";
        }
        return value.textValue();
    }

    /**
     * Reads an optional string.
     *
     * @param field name of the field
     * @param defaultValue value when the field is absent
     * @return the string
     */
    public String text(String field, String defaultValue) {
        return has(field) ? text(field) : defaultValue;
    }

    /**
     * Reads a required name: at most 63 lower-case letters, digits, dots and hyphens.
     *
     * @param field name of the field
     * @return the name
     */
    public String name(String field) {
        int faultsBefore = faults.size();
        String text = text(field);
        if (faults.size() == faultsBefore && !NAME_PATTERN.matcher(text).matches()) {
            addFault(
                    field,
                    "is \""
                            + text
                            + "\"; a name has 1 to 63 lower-case letters, digits, dots or hyphens");
        }
        return text;
    }

    /**
     * Reads an optional enum value, written in lower case.
     *
     * @param <E> type of the enum
     * @param field name of the field
     * @param defaultValue value when the field is absent
     * @return the constant, or the default when the field is absent or invalid
     */
    public <E extends Enum<E>> E choice(String field, E defaultValue) {
        if (!has(field)) {
            return defaultValue;
        }
        String text = text(field);
        List<String> allowed = new ArrayList<>();
        for (E constant : defaultValue.getDeclaringClass().getEnumConstants()) {
            String written = constant.name().toLowerCase(Locale.ROOT);
            if (written.equals(text)) {
                return constant;
            }
            allowed.add(written);
        }
        addFault(field, "is \"" + text + "\"; allowed are " + String.join(", ", allowed));
        return defaultValue;
    }

    /**
     * Reads an optional integer.
     *
     * @param field name of the field
     * @param defaultValue value when the field is absent
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return the number
     */
    public long number(String field, long defaultValue, long min, long max) {
        return has(field) ? number(field, min, max) : defaultValue;
    }

    /**
     * Reads a required integer.
     *
     * @param field name of the field
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return the number, or the smallest allowed value when invalid
     */
    public long number(String field, long min, long max) {
        String allowed = "; allowed is a whole number from " + min + " to " + max;
        if (!has(field)) {
            addFault(field, "is missing" + allowed);
            return min;
        }
        JsonNode value = node.get(field);
        boolean inRange =
                value.isIntegralNumber()
                        && value.canConvertToLong()
                        && value.longValue() >= min
                        && value.longValue() <= max;
        if (!inRange) {
            addFault(field, "is " + describe(value) + allowed);
            return min;
        }
        return value.longValue();
    }

    /**
     * Reads an optional decimal number.
     *
     * @param field name of the field
     * @param defaultValue value when the field is absent
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return the number, or the smallest allowed value when invalid
     */
    public double decimal(String field, double defaultValue, double min, double max) {
        if (!has(field)) {
            return defaultValue;
        }
        JsonNode value = node.get(field);
        boolean inRange =
                value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max;
        if (!inRange) {
            addFault(field, "is " + value + "; allowed is a number from " + min + " to " + max);
            return min;
        }
        return value.doubleValue();
    }

    /**
     * Reads an optional list of texts. Faults do not repeat the values, which may be secret.
     *
     * @param field name of the field
     * @return the texts in file order
     */
    public List<String> texts(String field) {
        List<String> texts = new ArrayList<>();
        int index = 0;
        for (JsonNode entry : array(field)) {
            if (entry.isTextual()) {
                texts.add(entry.textValue());
            } else {
                addFault(field + "[" + index + "]", "is not a text");
            }
            index++;
        }
        return texts;
    }

    /**
     * Reads an optional boolean.
     *
     * @param field name of the field
     * @param defaultValue value when the field is absent
     * @return the boolean
     */
    public boolean flag(String field, boolean defaultValue) {
        if (!has(field)) {
            return defaultValue;
        }
        JsonNode value = node.get(field);
        if (!value.isBoolean()) {
            addFault(field, "is " + describe(value) + "; allowed are true and false");
            return defaultValue;
        }
        return value.booleanValue();
    }

    /**
     * Reads a required time such as {@code 2026-12-04T10:00:00Z}.
     *
     * @param field name of the field
     * @return the time, or the epoch when invalid
     */
    public Instant time(String field) {
        String text = text(field);
        try {
            return Instant.parse(text);
        } catch (DateTimeParseException malformed) {
            addFault(field, "is \"" + text + "\"; a time such as 2026-12-04T10:00:00Z is needed");
            return Instant.EPOCH;
        }
    }

    /**
     * Reads a required address.
     *
     * @param field name of the field
     * @return the address, or port 1 of the loopback address when invalid
     */
    public Address address(String field) {
        return toAddress(field, text(field));
    }

    /**
     * Reads a required list of addresses with at least one entry.
     *
     * @param field name of the field
     * @return the addresses
     */
    public List<Address> addresses(String field) {
        List<Address> addresses = new ArrayList<>();
        int index = 0;
        for (JsonNode entry : array(field)) {
            addresses.add(toAddress(field + "[" + index + "]", entry.asText()));
            index++;
        }
        if (index == 0) {
            addFault(field, "needs at least one address such as 10.0.0.1:7000");
        }
        return addresses;
    }

    /**
     * Reads an optional object.
     *
     * @param <T> type of the value
     * @param field name of the field
     * @param reader builds the value
     * @return the value, or empty when absent or not an object
     */
    public <T> Optional<T> object(String field, Function<CheckedObject, T> reader) {
        if (!has(field)) {
            return Optional.empty();
        }
        return readObject(field, node.get(field), reader);
    }

    /**
     * Reads an optional list of objects.
     *
     * @param <T> type of an entry
     * @param field name of the field
     * @param reader builds one entry
     * @return the entries in file order
     */
    public <T> List<T> objects(String field, Function<CheckedObject, T> reader) {
        List<T> values = new ArrayList<>();
        int index = 0;
        for (JsonNode entry : array(field)) {
            readObject(field + "[" + index + "]", entry, reader).ifPresent(values::add);
            index++;
        }
        return values;
    }

    /**
     * Records a fault of this object.
     *
     * @param field name of the invalid field
     * @param reason what is wrong and what is allowed
     */
    public void addFault(String field, String reason) {
        faults.add(new Fault(path + field, reason));
    }

    void refuseUnknownFields() {
        node.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!knownFields.contains(field)) {
                                addFault(field, "is not a known field");
                            }
                        });
    }

    private <T> Optional<T> readObject(
            String field, JsonNode value, Function<CheckedObject, T> reader) {
        if (!value.isObject()) {
            addFault(field, "is " + describe(value) + "; an object is needed");
            return Optional.empty();
        }
        CheckedObject child = new CheckedObject(path + field + ".", value, faults);
        T result = reader.apply(child);
        child.refuseUnknownFields();
        return Optional.of(result);
    }

    /** Describes a value of the wrong type. Texts and what is nested may be secret. */
    private static String describe(JsonNode value) {
        if (value.isTextual()) {
            return "a text";
        }
        if (value.isArray()) {
            return "a list";
        }
        return value.isObject() ? "an object" : value.toString();
    }

    private JsonNode array(String field) {
        if (!has(field)) {
            return JsonNodeFactory.instance.arrayNode();
        }
        JsonNode value = node.get(field);
        if (!value.isArray()) {
            addFault(field, "is " + describe(value) + "; a list is needed");
            return JsonNodeFactory.instance.arrayNode();
        }
        return value;
    }

    private Address toAddress(String field, String text) {
        Optional<Address> address = Address.parse(text);
        if (address.isEmpty()) {
            addFault(field, "is \"" + text + "\"; an address such as 10.0.0.1:7000 is needed");
        }
        return address.orElse(new Address("127.0.0.1", 1));
    }
}
