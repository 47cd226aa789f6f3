package org.cuminreach.trial.mesh;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminreach.settings.Address;

/**
 * Loopback addresses for processes of a trial. The ports lie below the ephemeral port range of the
 * operating system: an ephemeral port that was free may be given to an outgoing connection before
 * the process of the trial listens on it.
 */
public final class FreeAddresses {
    private static final int FIRST_PORT = 12_000;

    /** Keeps the ports below 32768, where the ephemeral port range of Linux begins. */
    private static final int PORT_COUNT = 20_000;

    /** Starts at a random port, because several trials may run at the same time. */
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

    private FreeAddresses() {}

    /**
     * Returns an address that no process listens on, a different one on each call.
     *
     * @return the address
     * @throws IOException if no port is free
     */
    public static Address next() throws IOException {
        for (int tries = 0; tries < PORT_COUNT; tries++) {
            int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new Address("127.0.0.1", socket.getLocalPort());
            } catch (BindException taken) {
                // Another process uses the port.
                continue;
            }
        }
        throw new IOException(
                "no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }
}
