package org.cuminreach.trial.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Separate control processes are killed, frozen and replaced while operators submit. */
class ControlProcessesTest {
    private static final long PATIENCE_MILLIS = 20_000;
    private static final long LONGER_THAN_AN_ELECTION_MILLIS = 4_000;

    private final List<Long> accepted = new ArrayList<>();
    private long current;

    @Example
    void acceptedDocumentsSurviveKilledLeaderAndKillOfAll() throws Exception {
        try (ControlProcesses controls = ControlProcesses.start(3)) {
            submitSome(controls, "before", 5);
            controls.kill(controls.leader(PATIENCE_MILLIS));
            submitSome(controls, "after", 5);
            for (String name : List.copyOf(controls.names())) {
                if (controls.get(name, "/status").isPresent()) {
                    controls.kill(name);
                }
            }
            for (String name : controls.names()) {
                controls.restart(name);
            }
            submitSome(controls, "again", 1);
            requireHistory(controls);
        }
    }

    @Example
    void aFrozenLeaderAcceptsNothingWhenItWakes() throws Exception {
        try (ControlProcesses controls = ControlProcesses.start(3)) {
            submitSome(controls, "before", 2);
            String old = controls.leader(PATIENCE_MILLIS);
            controls.freeze(old);
            TimeUnit.MILLISECONDS.sleep(LONGER_THAN_AN_ELECTION_MILLIS);
            String stale = "/documents?basedOn=" + current;
            String other =
                    controls.names().stream().filter(name -> !name.equals(old)).findFirst().get();
            ControlProcesses.await(
                    "a new leader", PATIENCE_MILLIS, () -> accept(controls, other, "while-frozen"));

            controls.thaw(old);
            Optional<ControlProcesses.Answer> answer = controls.post(old, stale, "woken", "{}");
            assertWithMessage("answer of the woken control")
                    .that(answer.map(ControlProcesses.Answer::status).orElse(504))
                    .isAnyOf(409, 503, 504);
            submitSome(controls, "later", 2);
            requireHistory(controls);
        }
    }

    @Example
    void controlWithLostDiskJoinsUnderNewIdentity() throws Exception {
        try (ControlProcesses controls = ControlProcesses.start(3)) {
            submitSome(controls, "before", 3);
            String leader = controls.leader(PATIENCE_MILLIS);
            String lost =
                    controls.names().stream()
                            .filter(name -> !name.equals(leader))
                            .findFirst()
                            .get();
            controls.kill(lost);
            controls.restartWithoutDisk(lost);
            change(controls, "/members?remove=" + lost);
            ControlProcesses.await(
                    "the new control",
                    PATIENCE_MILLIS,
                    () -> controls.get(lost, "/status").isPresent());
            String fresh = controls.get(lost, "/status").get().body().path("identity").asText();
            assertThat(fresh).isNotEqualTo(lost);
            change(controls, "/members?add=" + fresh + "&address=" + controls.replicaAddress(lost));
            ControlProcesses.await(
                    "a third voter", PATIENCE_MILLIS, () -> votes(controls, lost, fresh));

            controls.kill(controls.leader(PATIENCE_MILLIS));
            submitSome(controls, "after", 2);
            requireHistory(controls);
        }
    }

    private static boolean votes(ControlProcesses controls, String name, String identity) {
        Optional<ControlProcesses.Answer> members = controls.get(name, "/members");
        if (members.isPresent()) {
            for (JsonNode member : members.get().body().path("members")) {
                if (member.path("identity").asText().equals(identity)) {
                    return member.path("voter").asBoolean();
                }
            }
        }
        return false;
    }

    private static void change(ControlProcesses controls, String path) {
        ControlProcesses.await(
                path,
                PATIENCE_MILLIS,
                () ->
                        controls.post(controls.leader(PATIENCE_MILLIS), path, "unused", "")
                                .filter(answer -> answer.status() == 202)
                                .isPresent());
    }

    private void submitSome(ControlProcesses controls, String key, int count) {
        for (int number = 0; number < count; number++) {
            String unique = key + "-" + number;
            ControlProcesses.await(
                    unique,
                    PATIENCE_MILLIS,
                    () -> accept(controls, controls.leader(PATIENCE_MILLIS), unique));
        }
    }

    /** Submits on top of the latest document; the same key makes a resend harmless. */
    private boolean accept(ControlProcesses controls, String name, String key) {
        Optional<ControlProcesses.Answer> answer =
                controls.post(name, "/documents?basedOn=" + current, key, "{}");
        if (answer.isEmpty() || answer.get().status() >= 500) {
            return false;
        }
        assertThat(answer.get().status()).isEqualTo(200);
        current = answer.get().body().path("version").longValue();
        accepted.add(current);
        return true;
    }

    private void requireHistory(ControlProcesses controls) {
        String leader = controls.leader(PATIENCE_MILLIS);
        List<Long> kept = new ArrayList<>();
        for (JsonNode entry : controls.get(leader, "/history").get().body().path("history")) {
            kept.add(entry.path("version").longValue());
        }
        assertThat(kept).isEqualTo(accepted);
    }
}
