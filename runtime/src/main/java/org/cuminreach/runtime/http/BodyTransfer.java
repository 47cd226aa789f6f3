package org.cuminreach.runtime.http;

/** Transfer of the body of a request whose client waits until it may send it. */
public final class BodyTransfer {
    private final long bytes;
    private final Runnable starter;

    BodyTransfer(long bytes, Runnable starter) {
        this.bytes = bytes;
        this.starter = starter;
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
