package org.cuminreach.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Parses JSON with comments and passes it to a reader that validates each field. */
public final class CheckedJson {
    private static final int MAX_NESTING_DEPTH = 32;

    /** A token of more than one character in a message of the parser. */
    private static final Pattern QUOTED_TOKEN = Pattern.compile("'[^']{2,}'");

    private static final JsonMapper MAPPER =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                                    .build())
                                    .build())
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private CheckedJson() {}

    /**
     * Reads one JSON object.
     *
     * @param <T> type of the value
     * @param text JSON, comments allowed
     * @param reader builds the value from the validated fields; its result is discarded when any
     *     field is invalid
     * @return the value, or all faults
     */
    public static <T> ParseResult<T> read(String text, Function<CheckedObject, T> reader) {
        return read(text, List.of(), reader);
    }

    /**
     * Reads one JSON object after replacing some of its fields.
     *
     * @param <T> type of the value
     * @param text JSON, comments allowed
     * @param overrides replacements, applied in order
     * @param reader builds the value from the validated fields; its result is discarded when any
     *     field is invalid
     * @return the value, or all faults
     */
    public static <T> ParseResult<T> read(
            String text, List<FieldOverride> overrides, Function<CheckedObject, T> reader) {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException malformed) {
            return new ParseResult.Invalid<>(List.of(new Fault("$", describe(malformed))));
        }
        if (!root.isObject()) {
            return new ParseResult.Invalid<>(List.of(new Fault("$", "must be a JSON object")));
        }
        List<Fault> faults = new ArrayList<>();
        for (FieldOverride override : overrides) {
            override.applyTo((ObjectNode) root, faults);
        }
        CheckedObject object = new CheckedObject("", root, faults);
        T value = reader.apply(object);
        object.refuseUnknownFields();
        if (!faults.isEmpty()) {
            return new ParseResult.Invalid<>(faults);
        }
        return new ParseResult.Valid<>(value);
    }

    /** Returns what is wrong without the tokens that are quoted, which may be secret. */
    private static String withoutTokens(JsonProcessingException malformed) {
        return QUOTED_TOKEN.matcher(malformed.getOriginalMessage()).replaceAll("'...'");
    }

    private static String describe(JsonProcessingException malformed) {
        String location = "";
        if (malformed.getLocation() != null) {
            location =
                    " at line "
                            + malformed.getLocation().getLineNr()
                            + ", column "
                            + malformed.getLocation().getColumnNr();
        }
        return "is not valid JSON" + location + ": " + withoutTokens(malformed);
    }
}
