package org.cuminreach.wire;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshState;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.wire.generated.CommandStruct;
import org.cuminreach.wire.generated.StateStruct;

class EvacuationCodecTest {
    private static MeshStateImage imageWithEvacuation() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        state.apply(1, new MeshCommand.SetEvacuation("test", "west", true, 7));
        return state.image();
    }

    @Example
    void commandRoundTrips() throws MalformedFrameException {
        for (boolean evacuated : List.of(true, false)) {
            MeshCommand command = new MeshCommand.SetEvacuation("anna", "west", evacuated, 7);
            byte[] bytes = StructCodec.encode(ConfigurationCodec.toStruct(command));
            assertThat(ConfigurationCodec.toCommand(StructCodec.decode(bytes, new CommandStruct())))
                    .isEqualTo(command);
        }
    }

    @Example
    void snapshotRoundTrips() throws MalformedFrameException {
        MeshStateImage image = imageWithEvacuation();
        assertThat(ConfigurationCodec.decodeState(ConfigurationCodec.encode(image)))
                .isEqualTo(image);
    }

    /** A snapshot of a build that knew no evacuations lacks the field. */
    @Example
    void snapshotWithoutTheFieldHasNoEvacuations() throws MalformedFrameException {
        StateStruct struct =
                StructCodec.decode(
                        ConfigurationCodec.encode(imageWithEvacuation()), new StateStruct());
        struct.unsetEvacuatedDataCentres();

        MeshStateImage image = ConfigurationCodec.decodeState(StructCodec.encode(struct));

        assertThat(image.evacuatedDataCentres()).isEmpty();
        assertThat(MeshState.of(image).configuration().isEvacuated("west")).isFalse();
    }
}
