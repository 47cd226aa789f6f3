package org.cuminreach.runtime.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;

class StrictHttpClientCodecTest {
    private EmbeddedChannel channel;

    @BeforeTry
    void start() {
        channel = new EmbeddedChannel(StrictHttpClientCodec.create(new HttpDecoderConfig()));
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void onlyStatusesFrom100To599AreAccepted(@ForAll @IntRange(min = 0, max = 9_999) int status) {
        String code = "%03d".formatted(status);
        request(HttpMethod.GET);

        assertWithMessage(code)
                .that(isAccepted("HTTP/1.1 " + code + " X\r\nContent-Length: 0\r\n\r\n"))
                .isEqualTo(status >= 100 && status <= 599);
    }

    /**
     * Inserts a byte into the line of a field and receives the head at once and in single bytes.
     */
    @Property(generation = GenerationMode.EXHAUSTIVE)
    void onlyFieldNamesThatAreTokensAreAccepted(
            @ForAll @IntRange(min = 0, max = 255) int inserted,
            @ForAll @IntRange(min = 0, max = 4) int position) {
        char character = (char) inserted;
        String field = new StringBuilder("Name: v").insert(position, character).toString();
        String head = "HTTP/1.1 200 OK\r\nSeal: a.1\r\n" + field + "\r\nContent-Length: 0\r\n\r\n";
        boolean endsName = character == ':' && position > 0;
        boolean valid = endsName || isTokenCharacter(character);
        request(HttpMethod.GET);
        assertWithMessage(field).that(isAccepted(head)).isEqualTo(valid);

        start();
        request(HttpMethod.GET);
        List<HttpObject> parts = new ArrayList<>();
        head.chars().forEach(single -> parts.addAll(receive(Character.toString(single))));
        assertWithMessage(field).that(isWholeAnswer(parts)).isEqualTo(valid);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void headBehindPartOfAnotherHeadIsNotAcceptedAsOne(
            @ForAll @IntRange(min = 1, max = 60) int length) {
        String part = "HTTP/1.1 503 Unavailable\r\nSeal: a.1\r\nServer: yard\r\nContent-L";
        String whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        request(HttpMethod.GET);

        assertThat(isAccepted(part.substring(0, length) + whole)).isFalse();
    }

    @Example
    void versionWithoutStatusMayStandInFields() {
        request(HttpMethod.GET);

        assertThat(
                        isAccepted(
                                "HTTP/1.1 200 HTTP/1.1\r\nVia: HTTP/1.1 proxy, HTTP/1.1 20\r\n"
                                        + "Upgrade: HTTP/2.0\r\nContent-Length: 0\r\n\r\n"))
                .isTrue();
    }

    @Example
    void codecIsBetweenResponsesOnceResponseHasEnded() {
        StrictHttpClientCodec codec = channel.pipeline().get(StrictHttpClientCodec.class);
        request(HttpMethod.GET);
        for (String part :
                List.of("H", "TTP/1.1 200 OK\r\n", "Content-Length: 2\r\n", "\r\n", "o")) {
            receive(part);
            assertWithMessage(part).that(codec.isBetweenResponses()).isFalse();
        }
        receive("k");

        assertThat(codec.isBetweenResponses()).isTrue();
    }

    @Example
    void nothingIsAcceptedAfterMalformedHead() {
        request(HttpMethod.GET);
        receive("HTTP/1.1 200 OK\r\nSeal: a.1\r\n X-Name: v\r\n");

        assertThat(receive("\r\n")).isEmpty();
        assertThat(receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")).isEmpty();
    }

    @Example
    void lineOfBodyMayBeginWithWhitespace() {
        request(HttpMethod.GET);

        assertThat(isAccepted("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n \n b\r\n c\r\n"))
                .isTrue();
        assertThat(
                        isAccepted(
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + "5\r\n a\r\n \r\n0\r\n\r\n"))
                .isTrue();
        assertThat(isAccepted("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")).isTrue();
    }

    @Example
    void answersToHeadHaveNoBody() {
        String lengthOnly = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
        for (String informational : List.of("", "HTTP/1.1 103 Early Hints\r\n\r\n")) {
            request(HttpMethod.HEAD);
            assertThat(endsAnswer(informational + lengthOnly)).isTrue();
            request(HttpMethod.GET);
            assertThat(endsAnswer(informational + lengthOnly)).isFalse();
            assertThat(endsAnswer("whole")).isTrue();
        }
    }

    @Example
    void answerWithoutLengthEndsWithItsConnection() {
        request(HttpMethod.GET);
        receive("HTTP/1.1 200 OK\r\n\r\nwhole");
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

        assertThat(channel.isOpen()).isFalse();
        assertThat(readAll().getLast()).isInstanceOf(LastHttpContent.class);
    }

    /** A failed read shuts down the input too; it may be any error, such as a lack of memory. */
    @Example
    void answerWithoutLengthHasNoEndAfterFailedRead() {
        for (Throwable cause : List.of(new IOException("reset"), new OutOfMemoryError("buffers"))) {
            start();
            request(HttpMethod.GET);
            receive("HTTP/1.1 200 OK\r\n\r\nfirst half");
            channel.pipeline().fireExceptionCaught(cause);
            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

            assertThat(channel.isOpen()).isFalse();
            assertThat(readAll()).isEmpty();
        }
    }

    @Example
    void answerWithoutLengthHasNoEndWhenTheConnectionIsClosedHere() {
        request(HttpMethod.GET);
        receive("HTTP/1.1 200 OK\r\n\r\nfirst half");
        channel.close();

        assertThat(channel.isOpen()).isFalse();
        assertThat(readAll()).isEmpty();
    }

    private void request(HttpMethod method) {
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
        channel.releaseOutbound();
    }

    private boolean isAccepted(String bytes) {
        return isWholeAnswer(receive(bytes));
    }

    private static boolean isTokenCharacter(char character) {
        return character < 128
                && (Character.isLetterOrDigit(character)
                        || "!#$%&'*+-.^_`|~".indexOf(character) >= 0);
    }

    private static boolean isWholeAnswer(List<HttpObject> parts) {
        return parts.getLast() instanceof LastHttpContent
                && parts.stream().allMatch(part -> part.decoderResult().isSuccess());
    }

    private boolean endsAnswer(String bytes) {
        return receive(bytes).getLast() instanceof LastHttpContent;
    }

    private List<HttpObject> receive(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        return readAll();
    }

    private List<HttpObject> readAll() {
        List<HttpObject> parts = new ArrayList<>();
        for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
            parts.add(part);
        }
        return parts;
    }
}
