package org.cuminreach.runtime.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Decodes responses and rejects malformed ones that Netty tolerates. A rejected response is passed
 * on with a failed {@link io.netty.handler.codec.DecoderResult}, like those that Netty rejects.
 */
final class StrictHttpResponseDecoder extends HttpResponseDecoder {
    private static final int STATUS_DIGITS = 3;
    private static final char MIN_STATUS_CLASS = '1';
    private static final char MAX_STATUS_CLASS = '5';

    private HttpMethod requestMethod = HttpMethod.GET;

    StrictHttpResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets the method of the request that the next response answers. */
    void setRequestMethod(HttpMethod method) {
        requestMethod = method;
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
