package org.cuminreach.runtime.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * An HTTP response with its complete body.
 *
 * @param status status code
 * @param headers headers; the server sets the content length
 * @param body complete body; must not be modified
 */
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {
    /**
     * Returns a text answer in UTF-8.
     *
     * @param status status code
     * @param contentType content type without the character set
     * @param text the text
     * @return the answer
     */
    public static HttpAnswer of(int status, String contentType, String text) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, contentType + "; charset=utf-8");
        return new HttpAnswer(status, headers, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sets a header of this answer.
     *
     * @param name name of the header
     * @param value value of the header
     * @return this answer
     */
    public HttpAnswer setHeader(String name, Object value) {
        headers.set(name, value);
        return this;
    }
}
