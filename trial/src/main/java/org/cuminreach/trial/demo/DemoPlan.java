package org.cuminreach.trial.demo;

import java.util.ArrayList;
import java.util.List;
import org.cuminreach.settings.Address;

/** Who runs where in the demonstration: names, addresses and behaviours. */
final class DemoPlan {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int CONTROL_COUNT = 3;
    private static final int ADDRESSES_PER_PROCESS = 4;
    private static final int FJORDHEST_SLOTS = 9;
    private static final int HIMAL_SLOTS = 6;
    private static final int GOOD_SERVICE_MILLIS = 4;
    private static final int BAD_FAILING_PER_MILLE = 300;

    /** A control. */
    record Control(
            String name,
            String dataCentre,
            Address replica,
            Address node,
            Address operator,
            Address administration) {}

    /** A target with its node. */
    record Target(
            String name,
            String dataCentre,
            String service,
            String version,
            int slots,
            int failingPerMille,
            Address caller,
            Address inbound,
            Address administration,
            Address target) {
        int serviceMillis() {
            return GOOD_SERVICE_MILLIS;
        }
    }

    private final List<Control> controls = new ArrayList<>();
    private final List<Target> targets = new ArrayList<>();
    private int nextPort;

    private DemoPlan(int firstPort) {
        nextPort = firstPort;
    }

    static DemoPlan of(int firstPort) {
        DemoPlan plan = new DemoPlan(firstPort);
        List<String> places = List.of("nidaros", "lade", "heimdal");
        for (int index = 0; index < CONTROL_COUNT; index++) {
            plan.addControl("control-" + (index + 1), places.get(index));
        }
        for (String place : places) {
            plan.addTarget(place, "verksted", "1", FJORDHEST_SLOTS, 0);
            plan.addTarget(place, "arkiv", "1", FJORDHEST_SLOTS, 0);
        }
        plan.addTarget("nidaros", "verksted", "2", FJORDHEST_SLOTS, 0);
        plan.addTarget("lade", "verksted", "2", FJORDHEST_SLOTS, 0);
        for (String place : List.of("ktm-a", "ktm-b", "ktm-c", "ktm-d")) {
            plan.addTarget(place, "order-app", "1", HIMAL_SLOTS, 0);
            plan.addTarget(place, "ledger", "1", HIMAL_SLOTS, 0);
        }
        plan.addTarget("ktm-a", "order-app", "2", HIMAL_SLOTS, BAD_FAILING_PER_MILLE);
        plan.addTarget("ktm-b", "order-app", "2", HIMAL_SLOTS, BAD_FAILING_PER_MILLE);
        return plan;
    }

    List<Control> controls() {
        return controls;
    }

    List<Target> targets() {
        return targets;
    }

    List<String> services() {
        return List.of("verksted", "arkiv", "order-app", "ledger");
    }

    private void addControl(String name, String dataCentre) {
        List<Address> addresses = nextAddresses();
        controls.add(
                new Control(
                        name,
                        dataCentre,
                        addresses.get(0),
                        addresses.get(1),
                        addresses.get(2),
                        addresses.get(3)));
    }

    private void addTarget(
            String dataCentre, String service, String version, int slots, int failingPerMille) {
        List<Address> addresses = nextAddresses();
        targets.add(
                new Target(
                        dataCentre + "-" + service + "-" + version,
                        dataCentre,
                        service,
                        version,
                        slots,
                        failingPerMille,
                        addresses.get(0),
                        addresses.get(1),
                        addresses.get(2),
                        addresses.get(3)));
    }

    private List<Address> nextAddresses() {
        List<Address> addresses = new ArrayList<>();
        for (int index = 0; index < ADDRESSES_PER_PROCESS; index++) {
            addresses.add(new Address(LOOPBACK, nextPort));
            nextPort++;
        }
        return addresses;
    }
}
