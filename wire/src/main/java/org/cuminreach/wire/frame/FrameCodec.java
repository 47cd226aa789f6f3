package org.cuminreach.wire.frame;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.Frame;

/**
 * Encodes frames and decodes them within bounds. Long frames are deflated: documents and lists of
 * targets repeat themselves, and they are what the links between data centres carry most of.
 */
public final class FrameCodec {
    /** Length from which a frame is deflated, in bytes; shorter ones fit into one packet. */
    private static final int COMPRESSION_THRESHOLD_BYTES = 1_400;

    private FrameCodec() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return its bytes
     * @throws IllegalStateException when a required field is not set
     */
    public static byte[] encode(Frame frame) {
        byte[] plain = StructCodec.encode(frame);
        if (plain.length < COMPRESSION_THRESHOLD_BYTES) {
            return plain;
        }
        byte[] packed = StructCodec.encode(Frame.packed(deflate(plain)));
        return packed.length < plain.length ? packed : plain;
    }

    /**
     * Decodes a frame.
     *
     * @param bytes its bytes
     * @return the frame, without a set field when this version does not know its kind
     * @throws MalformedFrameException when the bytes are no frame or inflate beyond the bound of
     *     one
     */
    public static Frame decode(byte[] bytes) throws MalformedFrameException {
        Frame frame = StructCodec.decode(bytes, new Frame());
        if (frame.getSetField() != Frame._Fields.PACKED) {
            return frame;
        }
        Frame inner = StructCodec.decode(inflate(frame.getPacked()), new Frame());
        if (inner.getSetField() == Frame._Fields.PACKED) {
            throw new MalformedFrameException("a packed frame holds another packed one");
        }
        return inner;
    }

    private static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        ByteArrayOutputStream deflated = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(deflated, deflater)) {
            out.write(plain);
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to memory failed", impossible);
        } finally {
            deflater.end();
        }
        return deflated.toByteArray();
    }

    private static byte[] inflate(byte[] deflated) throws MalformedFrameException {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            byte[] plain = in.readNBytes(StructCodec.MAX_STRUCT_BYTES);
            if (in.read() >= 0) {
                throw new MalformedFrameException("a packed frame inflates beyond the bound");
            }
            return plain;
        } catch (IOException malformed) {
            throw new MalformedFrameException("a packed frame does not inflate", malformed);
        }
    }
}
