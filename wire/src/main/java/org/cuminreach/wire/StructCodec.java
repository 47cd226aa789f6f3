package org.cuminreach.wire;

import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;

/** Encodes and decodes Thrift structs in the compact protocol, with bounded size and nesting. */
public final class StructCodec {
    /** Maximum size of an encoded struct, in bytes. */
    public static final int MAX_STRUCT_BYTES = 32 * 1024 * 1024;

    private static final int MAX_NESTING_DEPTH = 32;
    private static final int INITIAL_BUFFER_BYTES = 256;

    private static final TConfiguration LIMITS =
            TConfiguration.custom()
                    .setMaxMessageSize(MAX_STRUCT_BYTES)
                    .setMaxFrameSize(MAX_STRUCT_BYTES)
                    .setRecursionLimit(MAX_NESTING_DEPTH)
                    .build();

    private StructCodec() {}

    /**
     * Encodes a struct.
     *
     * @param struct the struct
     * @return its bytes
     * @throws IllegalStateException when a required field is not set
     */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
            struct.write(new TCompactProtocol(buffer));
            byte[] bytes = new byte[buffer.length()];
            System.arraycopy(buffer.getArray(), 0, bytes, 0, buffer.length());
            return bytes;
        } catch (TException invalid) {
            throw new IllegalStateException("cannot encode invalid struct: " + struct, invalid);
        }
    }

    /**
     * Decodes a struct.
     *
     * @param <T> type of the struct
     * @param bytes its bytes
     * @param struct an empty struct that receives the decoded fields
     * @return the struct
     * @throws MalformedFrameException when the bytes cannot be decoded to such a struct
     */
    public static <T extends TBase<?, ?>> T decode(byte[] bytes, T struct)
            throws MalformedFrameException {
        try {
            struct.read(new TCompactProtocol(new TMemoryInputTransport(LIMITS, bytes)));
            return struct;
        } catch (TException | RuntimeException malformed) {
            throw new MalformedFrameException(
                    "cannot decode "
                            + struct.getClass().getSimpleName()
                            + ": "
                            + malformed.getMessage(),
                    malformed);
        }
    }
}
