package org.cuminreach.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;

/**
 * Decodes responses and rejects malformed ones that Netty tolerates. A rejected response is passed
 * on with a failed {@link io.netty.handler.codec.DecoderResult}, like those that Netty rejects.
 *
 * <p>A response that is delimited by the end of its connection is ended only if the peer has ended
 * the connection orderly. After a reset, a failed write or a close by this process it has no last
 * content, like a response that is shorter than its length.
 */
final class StrictHttpResponseDecoder extends HttpResponseDecoder {
    private static final int STATUS_DIGITS = 3;
    private static final char MIN_STATUS_CLASS = '1';
    private static final char MAX_STATUS_CLASS = '5';

    private HttpMethod requestMethod = HttpMethod.GET;
    private boolean failed;
    private boolean endedByPeer;

    StrictHttpResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets the method of the request that the next response answers. */
    void setRequestMethod(HttpMethod method) {
        requestMethod = method;
    }

    /** Makes the channel tell the end of the peer's stream from all other reasons to close. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        failed = true;
        super.exceptionCaught(context, cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            // A failed read shuts down the input as well, after its exception.
            endedByPeer = !failed;
            context.close();
        } else {
            super.userEventTriggered(context, event);
        }
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
