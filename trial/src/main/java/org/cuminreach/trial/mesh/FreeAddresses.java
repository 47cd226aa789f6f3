package org.cuminreach.trial.mesh;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminreach.settings.Address;

/**
 * Loopback addresses for processes of a trial. The operating system gives its own free ports to the
 * next outgoing connection as well, so that a port that it named may be taken before the trial's
 * process listens there; these lie below the range that it hands out.
 */
public final class FreeAddresses {
    private static final int FIRST_PORT = 12_000;

    /** Below 32768, from which on Linux takes the ports of outgoing connections. */
    private static final int PORT_COUNT = 20_000;

    /** Trials that run beside each other begin at different places. */
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

    private FreeAddresses() {}

    /**
     * Returns an address that nobody listens on, another one each time.
     *
     * @return the address
     * @throws IOException when no port is free
     */
    public static Address next() throws IOException {
        for (int tries = 0; tries < PORT_COUNT; tries++) {
            int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new Address("127.0.0.1", socket.getLocalPort());
            } catch (BindException taken) {
                // Another process listens there; the next port is tried.
                continue;
            }
        }
        throw new IOException(
                "no port between " + FIRST_PORT + " and " + (FIRST_PORT + PORT_COUNT));
    }
}
