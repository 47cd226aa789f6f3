package org.cuminreach.trial.failure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The configurations that a node applied and refused according to its log, which all processes of
 * the node append to.
 *
 * @param applied versions in the order in which they were applied
 * @param refused number of configurations that it refused as incomplete
 */
record NodeConfigurationLog(List<Long> applied, long refused) {
    private static final Pattern APPLIED =
            Pattern.compile("event=configuration_applied configuration=(\\d+)");

    NodeConfigurationLog {
        applied = List.copyOf(applied);
    }

    static NodeConfigurationLog read(Path log) throws IOException {
        List<Long> applied = new ArrayList<>();
        long refused = 0;
        for (String line : Files.readAllLines(log)) {
            Matcher matcher = APPLIED.matcher(line);
            if (matcher.find()) {
                applied.add(Long.parseLong(matcher.group(1)));
            } else if (line.contains("event=configuration_refused ")) {
                refused++;
            }
        }
        return new NodeConfigurationLog(applied, refused);
    }

    /**
     * Counts the changes to an older version. The version of the previous process may be applied
     * again after a restart.
     */
    long versionRegressions() {
        long regressions = 0;
        for (int index = 1; index < applied.size(); index++) {
            if (applied.get(index) < applied.get(index - 1)) {
                regressions++;
            }
        }
        return regressions;
    }
}
