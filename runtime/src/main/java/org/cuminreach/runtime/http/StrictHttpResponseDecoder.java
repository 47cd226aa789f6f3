package org.cuminreach.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Decodes responses and rejects malformed ones that Netty tolerates. A rejected response is passed
 * on with a failed {@link io.netty.handler.codec.DecoderResult}, like those that Netty rejects.
 *
 * <p>A response that is delimited by the end of its connection is ended only if the peer has ended
 * the connection orderly. After a reset, a failed write or a close by this process it has no last
 * content, like a response that is shorter than its length.
 */
final class StrictHttpResponseDecoder extends HttpResponseDecoder {
    /** Start of a status line; the minor version, a space and the status follow. */
    private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private static final int VERSION_LENGTH = STATUS_LINE_START.length + 1;

    private static final int STATUS_DIGITS = 3;
    private static final char MIN_STATUS_CLASS = '1';
    private static final char MAX_STATUS_CLASS = '5';

    private HttpMethod requestMethod = HttpMethod.GET;
    private boolean readFailed;
    private boolean endedByPeer;
    private boolean readsHead = true;
    private boolean betweenResponses = true;
    private boolean rejected;

    StrictHttpResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets the method of the request that the next response answers. */
    void setRequestMethod(HttpMethod method) {
        requestMethod = method;
    }

    /** Returns whether all input so far belongs to complete responses. */
    boolean isBetweenResponses() {
        return betweenResponses && actualReadableBytes() == 0;
    }

    /** Makes the channel tell the end of the peer's stream from all other reasons to close. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        readFailed = true;
        super.exceptionCaught(context, cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            // A failed read shuts down the input as well, after its exception.
            endedByPeer = !readFailed;
            context.close();
        } else {
            super.userEventTriggered(context, event);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (rejected) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int start = buffer.readerIndex();
        int decodedBefore = out.size();
        super.decode(context, buffer, out);
        Optional<String> fault =
                readsHead ? findFault(buffer, start, buffer.readerIndex()) : Optional.empty();
        if (fault.isPresent()) {
            reject(out, decodedBefore, fault.get());
        } else if (out.size() > decodedBefore) {
            readsHead = out.getLast() instanceof LastHttpContent;
            betweenResponses = readsHead;
        } else if (buffer.readerIndex() > start) {
            betweenResponses = false;
        }
    }

    /** Returns what is wrong with lines of a head that Netty accepts. */
    private static Optional<String> findFault(ByteBuf buffer, int start, int end) {
        if (hasLineWithLeadingWhitespace(buffer, start, end)) {
            return Optional.of("header line begins with whitespace");
        }
        return hasStatusLineWithinLine(buffer, start, end)
                ? Optional.of("status line within a line of a head")
                : Optional.empty();
    }

    /**
     * Returns whether a line of a head begins with whitespace. Netty appends such a line to the
     * value of the field before it; an intermediary may reject it instead (RFC 9112, section 5.2).
     */
    private static boolean hasLineWithLeadingWhitespace(ByteBuf buffer, int start, int end) {
        int line = start;
        while (line < end) {
            byte first = buffer.getByte(line);
            if (first == HttpConstants.SP || first == HttpConstants.HT) {
                return true;
            }
            int lineEnd = buffer.indexOf(line, end, HttpConstants.LF);
            line = lineEnd < 0 ? end : lineEnd + 1;
        }
        return false;
    }

    /**
     * Returns whether a status line begins within another line. A peer that sends a part of a
     * response and then a whole one would have its parts taken for a single head.
     */
    private static boolean hasStatusLineWithinLine(ByteBuf buffer, int start, int end) {
        int version = buffer.indexOf(start, end, STATUS_LINE_START[0]);
        while (version >= 0) {
            boolean withinLine = version > start && buffer.getByte(version - 1) != HttpConstants.LF;
            if (withinLine && isStatusLine(buffer, version, end)) {
                return true;
            }
            version = buffer.indexOf(version + 1, end, STATUS_LINE_START[0]);
        }
        return false;
    }

    private static boolean isStatusLine(ByteBuf buffer, int start, int end) {
        int space = start + VERSION_LENGTH;
        int status = space + 1;
        if (status + STATUS_DIGITS >= end) {
            return false;
        }
        for (int offset = 0; offset < STATUS_LINE_START.length; offset++) {
            if (buffer.getByte(start + offset) != STATUS_LINE_START[offset]) {
                return false;
            }
        }
        for (int offset = 0; offset < STATUS_DIGITS; offset++) {
            if (!isDigit((char) buffer.getByte(status + offset))) {
                return false;
            }
        }
        return isDigit((char) buffer.getByte(space - 1))
                && buffer.getByte(space) == HttpConstants.SP;
    }

    /** Replaces what was decoded from a malformed head and ignores all that follows it. */
    private void reject(List<Object> out, int decodedBefore, String reason) {
        rejected = true;
        betweenResponses = false;
        while (out.size() > decodedBefore) {
            ReferenceCountUtil.release(out.removeLast());
        }
        HttpMessage invalid = createInvalidMessage();
        invalid.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(reason)));
        out.add(invalid);
    }

    /**
     * Rejects names of fields that contain or precede whitespace (RFC 9112, section 5.1), of which
     * Netty drops all from the whitespace to the colon. It checks the other characters itself.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != HttpConstants.COLON) {
            throw new IllegalArgumentException("whitespace in the name of a field");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (endedByPeer) {
            super.decodeLast(context, buffer, out);
        }
    }

    /**
     * Rejects status codes outside 100 to 599, which are invalid (RFC 9110, section 15). A code in
     * this range is valid even if it has no name.
     */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        String status = statusLine[1];
        if (!isValidStatus(status)) {
            throw new IllegalArgumentException("invalid status code: " + status);
        }
        return super.createMessage(statusLine);
    }

    private static boolean isValidStatus(String status) {
        return status.length() == STATUS_DIGITS
                && status.charAt(0) >= MIN_STATUS_CLASS
                && status.charAt(0) <= MAX_STATUS_CLASS
                && isDigit(status.charAt(1))
                && isDigit(status.charAt(2));
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean answersHead =
                requestMethod.equals(HttpMethod.HEAD)
                        && ((HttpResponse) message).status().codeClass()
                                != HttpStatusClass.INFORMATIONAL;
        return answersHead || super.isContentAlwaysEmpty(message);
    }
}
