package org.cuminreach.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.List;

/**
 * Codec of HTTP/1.1 clients with one request at a time per connection, which rejects malformed
 * responses that {@link HttpClientCodec} tolerates.
 */
public final class StrictHttpClientCodec
        extends CombinedChannelDuplexHandler<StrictHttpResponseDecoder, HttpRequestEncoder> {
    private StrictHttpClientCodec(StrictHttpResponseDecoder decoder) {
        super(decoder, new Encoder(decoder));
    }

    /**
     * Returns a codec for one connection.
     *
     * @param config limits of the responses
     * @return the codec
     */
    public static StrictHttpClientCodec create(HttpDecoderConfig config) {
        return new StrictHttpClientCodec(new StrictHttpResponseDecoder(config));
    }

    /**
     * Returns whether all input so far belongs to complete responses. Otherwise the connection
     * cannot be used for another request, as its response could not be told from that input.
     *
     * @return false while a part of a response, or of anything else, has been received
     */
    public boolean isBetweenResponses() {
        return inboundHandler().isBetweenResponses();
    }

    /**
     * Replaces the codec that a client library has added to a connection, with default limits.
     *
     * @param connection a connection that has received nothing yet
     */
    public static void replaceCodecOf(Channel connection) {
        ChannelPipeline pipeline = connection.pipeline();
        String name = pipeline.context(HttpClientCodec.class).name();
        pipeline.replace(name, name, create(new HttpDecoderConfig()));
    }

    /** Tells the decoder which method the next response answers. */
    private static final class Encoder extends HttpRequestEncoder {
        private final StrictHttpResponseDecoder decoder;

        private Encoder(StrictHttpResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
                throws Exception {
            if (message instanceof HttpRequest request) {
                decoder.setRequestMethod(request.method());
            }
            super.encode(context, message, out);
        }
    }
}
