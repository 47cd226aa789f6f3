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
 * Encodes and decodes frames of bounded size. Long frames are compressed with deflate: documents
 * and lists of targets make up most of the traffic between data centres, and their content is
 * repetitive.
 */
public final class FrameCodec {
    /** Minimum size of a compressed frame, in bytes; shorter frames fit into one packet. */
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
     * @return the frame; no field is set when this version does not know the type of the frame
     * @throws MalformedFrameException when the bytes are not a valid frame or exceed the maximum
     *     size when decompressed
     */
    public static Frame decode(byte[] bytes) throws MalformedFrameException {
        Frame frame = StructCodec.decode(bytes, new Frame());
        if (frame.getSetField() != Frame._Fields.PACKED) {
            return frame;
        }
        Frame inner = StructCodec.decode(inflate(frame.getPacked()), new Frame());
        if (inner.getSetField() == Frame._Fields.PACKED) {
            throw new MalformedFrameException("packed frame contains another packed frame");
        }
        return inner;
    }

    private static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        ByteArrayOutputStream deflated = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(deflated, deflater)) {
            out.write(plain);
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to a memory buffer failed", impossible);
        } finally {
            deflater.end();
        }
        return deflated.toByteArray();
    }

    private static byte[] inflate(byte[] deflated) throws MalformedFrameException {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            byte[] plain = in.readNBytes(StructCodec.MAX_STRUCT_BYTES);
            if (in.read() >= 0) {
                throw new MalformedFrameException(
                        "packed frame exceeds "
                                + StructCodec.MAX_STRUCT_BYTES
                                + " bytes when decompressed");
            }
            return plain;
        } catch (IOException malformed) {
            throw new MalformedFrameException("packed frame cannot be decompressed", malformed);
        }
    }
}
