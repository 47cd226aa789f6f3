package org.cuminreach.wire.frame;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.DeflaterOutputStream;
import net.jqwik.api.Example;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.AnnouncementBatch;
import org.cuminreach.wire.generated.AnnouncementStruct;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.Heartbeat;

class FrameCodecTest {
    private static Frame targets(int count) {
        List<AnnouncementStruct> targets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            targets.add(
                    new AnnouncementStruct(
                            "node-" + index, 1, 1, "arkiv", "v1", "lade", "10.0.0.1:1", 8, 1));
        }
        return Frame.announcements(new AnnouncementBatch(targets));
    }

    private static byte[] packed(byte[] plain) throws IOException {
        ByteArrayOutputStream deflated = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(deflated)) {
            out.write(plain);
        }
        return StructCodec.encode(Frame.packed(deflated.toByteArray()));
    }

    private static boolean isMalformed(byte[] bytes) {
        try {
            FrameCodec.decode(bytes);
            return false;
        } catch (MalformedFrameException malformed) {
            return true;
        }
    }

    @Example
    void longFramesAreCompressedAndRoundTrip() throws MalformedFrameException {
        Frame announcements = targets(500);

        byte[] encoded = FrameCodec.encode(announcements);

        assertThat(encoded.length).isLessThan(StructCodec.encode(announcements).length / 4);
        assertThat(FrameCodec.decode(encoded)).isEqualTo(announcements);
    }

    @Example
    void shortFramesAreNotCompressed() throws MalformedFrameException {
        Frame heartbeat = Frame.heartbeat(new Heartbeat(7));

        assertThat(FrameCodec.encode(heartbeat)).isEqualTo(StructCodec.encode(heartbeat));
        assertThat(FrameCodec.decode(FrameCodec.encode(heartbeat))).isEqualTo(heartbeat);
    }

    @Example
    void invalidPackedFramesAreMalformed() throws IOException {
        byte[] nested = packed(packed(StructCodec.encode(targets(1))));
        byte[] notDeflated = StructCodec.encode(Frame.packed(new byte[] {1, 2, 3}));
        byte[] tooLarge = packed(new byte[StructCodec.MAX_STRUCT_BYTES + 1]);

        assertThat(isMalformed(nested)).isTrue();
        assertThat(isMalformed(notDeflated)).isTrue();
        assertThat(isMalformed(tooLarge)).isTrue();
    }
}
