package org.cuminreach.control.operator.console;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.cuminreach.runtime.http.HttpAnswer;

/** The style sheet of the console, loaded from the class path. */
final class StyleSheet {
    private static final String RESOURCE = "console.css";

    private final String text;

    private StyleSheet(String text) {
        this.text = text;
    }

    static StyleSheet load() {
        try (InputStream stream = StyleSheet.class.getResourceAsStream(RESOURCE)) {
            if (stream == null) {
                throw new IllegalStateException(RESOURCE + " is missing from the class path");
            }
            return new StyleSheet(new String(stream.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    HttpAnswer toAnswer() {
        return HttpAnswer.of(200, "text/css", text);
    }
}
