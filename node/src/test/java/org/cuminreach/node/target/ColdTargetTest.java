package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import org.cuminreach.decisions.admission.ColdLimit;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.document.ColdStart;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Service;
import org.cuminreach.document.TargetAccess;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.settings.TargetDescription;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.MeshBounds;

class ColdTargetTest {
    private static final String START = "i-1/7";
    private static final TargetDescription TARGET =
            new TargetDescription(
                    START, "arkiv", "1", new Address("127.0.0.1", 7_000), 13, TargetPhase.READY);
    private static final ColdStart COLD_START = new ColdStart(5_000, 9.1);
    private static final ColdLimit LIMIT = new ColdLimit(9.1, 21);

    private final long now = ProcessClock.monotonicMillis();
    private MeshConfiguration configuration = configuration(COLD_START, List.of());
    private final ColdTarget target =
            new ColdTarget(
                    new ColdSettings(() -> configuration, "nidaros", new MeshBounds.Cold(1.5, 8)));

    @Example
    void targetIsColdAfterRestartOfNodeUntilItTells() {
        assertThat(target.limit(TARGET, now)).isEqualTo(Optional.of(LIMIT));

        target.record(START, OptionalLong.of(0), now);

        assertThat(target.limit(TARGET, now)).isEqualTo(Optional.empty());
    }

    @Example
    void serviceWithoutColdLimitIsNotSpared() {
        configuration = configuration(new ColdStart(5_000, 0), List.of());
        target.record(START, OptionalLong.of(5_000), now);

        assertThat(target.limit(TARGET, now)).isEqualTo(Optional.empty());
        assertThat(target.takeChange()).isFalse();
    }

    @Example
    void nodeWithoutConfigurationKeepsLimitThatSenderKnows() {
        configuration = MeshConfiguration.empty();
        target.record(START, OptionalLong.of(3_000), now);
        assertThat(target.limit(TARGET, now)).isEqualTo(Optional.empty());

        target.adopt(headers("2000/9.1"), now);

        assertThat(target.limit(TARGET, now)).isEqualTo(Optional.of(LIMIT));
        assertThat(target.coldMillis(now)).isEqualTo(3_000);
    }

    @Example
    void malformedHearsayChangesNothing() {
        target.record(START, OptionalLong.of(0), now);
        for (String text : List.of("", "/", "5000", "-1/9", "5000/0", "1e9/9", "x/9.1")) {
            target.adopt(headers(text), now);
        }

        assertThat(target.limit(TARGET, now)).isEqualTo(Optional.empty());
    }

    /** Targets of an evacuated data centre may have become cold without having said so yet. */
    @Example
    void targetIsPresumedColdAfterEvacuationUntilItTells() {
        configuration = configuration(COLD_START, List.of("nidaros"));
        target.record(START, OptionalLong.of(0), now);
        assertThat(target.limit(TARGET, now)).isEqualTo(Optional.of(LIMIT));

        configuration = configuration(COLD_START, List.of());
        assertThat(target.limit(TARGET, now + 1_000)).isEqualTo(Optional.of(LIMIT));
        target.record(START, OptionalLong.of(0), now + 1_500);

        assertThat(target.limit(TARGET, now + 1_500)).isEqualTo(Optional.empty());
    }

    @Example
    void targetThatRefusedConnectionsIsPresumedCold() {
        target.record(START, OptionalLong.of(0), now);
        target.recordUnreachable(now);

        assertThat(target.limit(TARGET, now)).isEqualTo(Optional.of(LIMIT));
    }

    @Example
    void sendersAreToldWhileTargetIsCold() {
        target.record(START, OptionalLong.of(3_000), now);
        assertThat(target.limit(TARGET, now)).isEqualTo(Optional.of(LIMIT));
        HttpAnswer whileCold = HttpAnswer.of(200, "text/plain", "");
        target.addTo(whileCold, now + 1_000);
        assertThat(whileCold.headers().get(MeshHeaders.TARGET_COLD)).isEqualTo("2000/9.1");
        assertThat(target.takeChange()).isTrue();
        assertThat(target.takeChange()).isFalse();

        assertThat(target.limit(TARGET, now + 3_000)).isEqualTo(Optional.empty());
        HttpAnswer whenWarm = HttpAnswer.of(200, "text/plain", "");
        target.addTo(whenWarm, now + 3_000);

        assertThat(whenWarm.headers().get(MeshHeaders.TARGET_COLD)).isNull();
        assertThat(target.takeChange()).isTrue();
    }

    private static HttpHeaders headers(String cold) {
        return new DefaultHttpHeaders().set(MeshHeaders.TARGET_COLD, cold);
    }

    private static MeshConfiguration configuration(ColdStart coldStart, List<String> evacuated) {
        Service service =
                new Service(
                        "arkiv",
                        Optional.of("1"),
                        Optional.empty(),
                        TargetAccess.defaults(),
                        coldStart);
        MeshDocument document =
                MeshDocument.of(List.of(service), List.of(), RolloutPriority.SAFETY);
        return new MeshConfiguration(1, 1, document, "{}", List.of(), evacuated);
    }
}
