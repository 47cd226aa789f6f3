package org.cuminreach.node.target;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import org.cuminreach.runtime.http.BodyMemory;

/** The body of an answer while it is being received, in blocks on the heap. Not thread-safe. */
final class AnswerBody {
    private static final int MIN_BLOCK_BYTES = 1024;
    private static final int MAX_BLOCK_BYTES = 64 * 1024;

    private final BodyMemory.Share share;
    private final List<byte[]> blocks = new ArrayList<>();
    private int size;
    private int freeInLastBlock;

    AnswerBody(BodyMemory.Share share) {
        this.share = share;
    }

    /** Appends bytes; returns false if there is no memory for them. */
    boolean append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (freeInLastBlock == 0 && !addBlock()) {
                return false;
            }
            byte[] last = blocks.getLast();
            int length = Math.min(freeInLastBlock, bytes.readableBytes());
            bytes.readBytes(last, last.length - freeInLastBlock, length);
            freeInLastBlock -= length;
            size += length;
        }
        return true;
    }

    private boolean addBlock() {
        int length = Math.clamp(size, MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        if (!share.tryGrow(length)) {
            return false;
        }
        blocks.add(new byte[length]);
        freeInLastBlock = length;
        return true;
    }

    /** Returns a copy of the body. */
    byte[] toBytes() {
        byte[] bytes = new byte[size];
        int copied = 0;
        for (byte[] block : blocks) {
            int length = Math.min(block.length, size - copied);
            System.arraycopy(block, 0, bytes, copied, length);
            copied += length;
        }
        return bytes;
    }

    /** Returns the memory of the body. */
    void release() {
        blocks.clear();
        share.release();
    }
}
