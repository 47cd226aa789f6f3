package org.cuminreach.runtime.http;

import java.util.Optional;

/** Decides when clients that expect {@code 100 Continue} may send the bodies of their requests. */
public interface BodyGate {
    /** Time after which a transfer usually counts as stalled, in milliseconds. */
    long DEFAULT_STALL_MILLIS = 250;

    /**
     * Offers the body of a request of which only the headers have arrived.
     *
     * @param transfer the transfer of the body, which the gate starts now or later
     * @return the answer when the request is refused, so that its body is never sent; else empty
     */
    Optional<HttpAnswer> offer(BodyTransfer transfer);

    /**
     * Tells that a transfer has ended, whether it was started or not. If its body has arrived, the
     * request is handled after this.
     *
     * @param transfer the transfer
     */
    void end(BodyTransfer transfer);

    /**
     * Returns the time without a byte after which a started transfer loses its turn.
     *
     * @return the time in milliseconds
     */
    default long stallMillis() {
        return DEFAULT_STALL_MILLIS;
    }

    /**
     * Returns the gate of a server that receives all bodies at once.
     *
     * @return the gate
     */
    static BodyGate open() {
        return new BodyGate() {
            @Override
            public Optional<HttpAnswer> offer(BodyTransfer transfer) {
                transfer.start();
                return Optional.empty();
            }

            @Override
            public void end(BodyTransfer transfer) {
                // An open gate keeps no transfers.
            }
        };
    }
}
