package org.cuminreach.runtime.http;

/** Transfer of the body of a request whose client waits until it may send it. */
public final class BodyTransfer {
    private final HttpCall head;
    private final long bytes;
    private final long offeredMillis;
    private final Runnable starter;

    BodyTransfer(HttpCall head, long bytes, long offeredMillis, Runnable starter) {
        this.head = head;
        this.bytes = bytes;
        this.offeredMillis = offeredMillis;
        this.starter = starter;
    }

    /**
     * Returns the request without its body.
     *
     * @return the request, whose headers become those of the whole request
     */
    public HttpCall head() {
        return head;
    }

    /**
     * Returns the time at which the headers arrived.
     *
     * @return the time by the monotonic clock, in milliseconds
     */
    public long offeredMillis() {
        return offeredMillis;
    }

    /**
     * Returns the length of the body.
     *
     * @return bytes, as stated in the headers
     */
    public long bytes() {
        return bytes;
    }

    /** Asks the client to send the body. */
    public void start() {
        starter.run();
    }
}
