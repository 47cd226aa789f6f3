package org.cuminreach.trial.examples;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.cuminreach.control.ControlSettings;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.settings.CheckedJson;
import org.cuminreach.settings.ParseResult;

class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @Example
    void everyExampleIsValid() throws IOException {
        List<Path> files;
        try (Stream<Path> walk = Files.walk(EXAMPLES)) {
            files = walk.filter(path -> path.toString().endsWith(".json")).toList();
        }
        assertThat(files).hasSize(6);
        for (Path file : files) {
            assertWithMessage(file.toString())
                    .that(read(file))
                    .isInstanceOf(ParseResult.Valid.class);
        }
    }

    private static ParseResult<?> read(Path file) throws IOException {
        String text = Files.readString(file);
        String name = file.getFileName().toString();
        if (name.startsWith("control")) {
            return CheckedJson.read(text, ControlSettings::read);
        }
        if (name.startsWith("node")) {
            return CheckedJson.read(text, NodeSettings::read);
        }
        return DocumentReader.read(text);
    }
}
