package org.cuminreach.trial.failure;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.settings.Address;
import org.cuminreach.trial.mesh.MeshPlan;

/** Relays between all pairs of controls, in each direction, that allow a control to be isolated. */
final class ControlNetwork implements AutoCloseable {
    private record Link(String from, String to) {}

    private static final int THREADS = 2;

    private final EventLoopGroup eventLoops = EventLoops.start(THREADS);
    private final Map<Link, BlackholeRelay> relays = new HashMap<>();
    private final Map<Link, Address> addresses = new HashMap<>();

    private ControlNetwork() {}

    static ControlNetwork start(MeshPlan plan) {
        ControlNetwork network = new ControlNetwork();
        for (MeshPlan.Control from : plan.controls()) {
            for (MeshPlan.Control to : plan.controls()) {
                if (!from.equals(to)) {
                    network.add(from, to, plan.nextAddress());
                }
            }
        }
        return network;
    }

    Address address(MeshPlan.Control from, MeshPlan.Control to) {
        return addresses.get(new Link(from.name(), to.name()));
    }

    void isolate(String control) {
        relays.forEach(
                (link, relay) -> {
                    if (link.from().equals(control) || link.to().equals(control)) {
                        relay.dropTraffic();
                    }
                });
    }

    void heal() {
        relays.values().forEach(BlackholeRelay::heal);
    }

    @Override
    public void close() {
        EventLoops.stop(eventLoops);
    }

    private void add(MeshPlan.Control from, MeshPlan.Control to, Address listen) {
        Link link = new Link(from.name(), to.name());
        addresses.put(link, listen);
        relays.put(link, BlackholeRelay.start(listen, to.replicaAddress(), eventLoops));
    }
}
