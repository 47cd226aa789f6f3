package org.cuminreach.control.node;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import org.cuminreach.decisions.configuration.ConfigurationHistory;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.distribution.SyncStep;
import org.cuminreach.decisions.membership.TargetRegistry;

class SyncFramesTest {
    private static final SyncStep.SendConfiguration WHOLE = new SyncStep.SendConfiguration(0, 1);
    private final SyncFrames frames =
            SyncFrames.of(
                    TargetRegistry.empty(),
                    ConfigurationHistory.of(MeshConfiguration.empty()),
                    1,
                    1,
                    false);

    @Example
    void configurationIsNotEncodedAgainForEachAnnouncedTarget() {
        byte[] encoded = frames.configuration(WHOLE);

        assertThat(frames.advance(2, 1, false).configuration(WHOLE)).isSameInstanceAs(encoded);
    }

    @Example
    void configurationOfLaterVersionIsEncodedAnew() {
        byte[] encoded = frames.configuration(WHOLE);

        assertThat(frames.advance(1, 2, false).configuration(WHOLE)).isNotSameInstanceAs(encoded);
    }
}
