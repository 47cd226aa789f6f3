package org.cuminreach.runtime.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A whole HTTP answer.
 *
 * @param status its status
 * @param headers its headers; the length is set by the server
 * @param body its whole body; not to be changed
 */
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {
    /**
     * Returns a text answer.
     *
     * @param status its status
     * @param contentType type of the text
     * @param text the text
     * @return the answer
     */
    public static HttpAnswer of(int status, String contentType, String text) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, contentType + "; charset=utf-8");
        return new HttpAnswer(status, headers, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns this answer with one more header.
     *
     * @param name name of the header
     * @param value its value
     * @return this answer
     */
    public HttpAnswer setHeader(String name, Object value) {
        headers.set(name, value);
        return this;
    }
}
