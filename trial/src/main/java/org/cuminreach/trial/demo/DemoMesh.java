package org.cuminreach.trial.demo;

import java.util.List;
import org.cuminreach.trial.mesh.MeshPlan;

/**
 * The plan of the demonstration: the meshes of both organisations at a small size, with a good and
 * a bad new version of one service each.
 */
final class DemoMesh {
    private static final int FJORDHEST_SLOTS = 9;
    private static final int HIMAL_SLOTS = 6;
    private static final int SERVICE_MILLIS = 4;
    private static final int NO_FAILURES = 0;
    private static final int BAD_VERSION_FAILURES_PER_MILLE = 300;

    private DemoMesh() {}

    static MeshPlan plan(int firstPort) {
        MeshPlan plan = MeshPlan.empty(firstPort);
        List<String> dataCentres = List.of("nidaros", "lade", "heimdal");
        for (int index = 0; index < dataCentres.size(); index++) {
            plan.addControl("control-" + (index + 1), dataCentres.get(index));
        }
        for (String dataCentre : dataCentres) {
            plan.addTarget(
                    dataCentre, "verksted", "1", FJORDHEST_SLOTS, SERVICE_MILLIS, NO_FAILURES);
            plan.addTarget(dataCentre, "arkiv", "1", FJORDHEST_SLOTS, SERVICE_MILLIS, NO_FAILURES);
        }
        plan.addTarget("nidaros", "verksted", "2", FJORDHEST_SLOTS, SERVICE_MILLIS, NO_FAILURES);
        plan.addTarget("lade", "verksted", "2", FJORDHEST_SLOTS, SERVICE_MILLIS, NO_FAILURES);
        for (String dataCentre : List.of("ktm-a", "ktm-b", "ktm-c", "ktm-d")) {
            plan.addTarget(dataCentre, "order-app", "1", HIMAL_SLOTS, SERVICE_MILLIS, NO_FAILURES);
            plan.addTarget(dataCentre, "ledger", "1", HIMAL_SLOTS, SERVICE_MILLIS, NO_FAILURES);
        }
        for (String dataCentre : List.of("ktm-a", "ktm-b")) {
            plan.addTarget(
                    dataCentre,
                    "order-app",
                    "2",
                    HIMAL_SLOTS,
                    SERVICE_MILLIS,
                    BAD_VERSION_FAILURES_PER_MILLE);
        }
        return plan;
    }
}
