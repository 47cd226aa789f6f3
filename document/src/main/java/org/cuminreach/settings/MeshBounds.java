package org.cuminreach.settings;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Bounds that the operators promise for the whole mesh, and its data centres. They are the same in
 * the settings of all processes.
 *
 * @param regions region of each known data centre; empty when the settings list none
 * @param revocationMillis time after the acknowledgement of a removed API key from which no node
 *     lets the key pass, in touch with the controls or not, in milliseconds; empty when only nodes
 *     in touch have to refuse it
 * @param toleratedControlLosses number of controls that may be lost at the same time, with their
 *     disks, without the loss of anything accepted; empty for as many as the current number of
 *     controls tolerates
 * @param quota how far the calls of a tenant may exceed its quota
 * @param cold how far the calls to a cold target may exceed what it withstands
 */
public record MeshBounds(
        Map<String, String> regions,
        OptionalLong revocationMillis,
        OptionalInt toleratedControlLosses,
        Quota quota,
        Cold cold) {
    private static final long MAX_MILLIS = 600_000;
    private static final int MAX_TOLERATED_CONTROL_LOSSES = 3;
    private static final double MAX_FACTOR = 1_000;
    private static final double MAX_CALLS = 1_000_000;

    /**
     * Bound on the calls of a tenant: in each window at most (rate × window + burst) × (1 +
     * overage) + slack.
     *
     * @param windowMillis length of the window, in milliseconds
     * @param overage share by which the quota may be exceeded
     * @param slack calls by which it may be exceeded besides
     */
    public record Quota(long windowMillis, double overage, double slack) {
        private static final long DEFAULT_WINDOW_MILLIS = 5_000;
        private static final double DEFAULT_OVERAGE = 0.1;
        private static final double DEFAULT_SLACK = 20;

        private static Quota defaults() {
            return new Quota(DEFAULT_WINDOW_MILLIS, DEFAULT_OVERAGE, DEFAULT_SLACK);
        }

        private static Quota read(CheckedObject object) {
            return new Quota(
                    object.number("windowMillis", DEFAULT_WINDOW_MILLIS, 1, MAX_MILLIS),
                    object.decimal("overage", DEFAULT_OVERAGE, 0, MAX_FACTOR),
                    object.decimal("slack", DEFAULT_SLACK, 0, MAX_CALLS));
        }
    }

    /**
     * Bound on the calls to a cold target: in each second at most rate × overage + slack.
     *
     * @param overage factor on the rate that the target withstands
     * @param slack calls a second by which it may be exceeded besides
     */
    public record Cold(double overage, double slack) {
        private static final double DEFAULT_OVERAGE = 1;
        private static final double DEFAULT_SLACK = 0;

        private static Cold defaults() {
            return new Cold(DEFAULT_OVERAGE, DEFAULT_SLACK);
        }

        private static Cold read(CheckedObject object) {
            return new Cold(
                    object.decimal("overage", DEFAULT_OVERAGE, 1, MAX_FACTOR),
                    object.decimal("slack", DEFAULT_SLACK, 0, MAX_CALLS));
        }
    }

    private record DataCentre(String name, String region) {
        private static DataCentre read(CheckedObject object) {
            return new DataCentre(object.name("name"), object.name("region"));
        }
    }

    /** Copies the map. */
    public MeshBounds {
        regions = Map.copyOf(regions);
    }

    /**
     * Returns the bounds of a mesh whose settings name none.
     *
     * @return no known data centres, no bound on revocation, no number of tolerated losses, the
     *     default quota and cold bounds
     */
    public static MeshBounds defaults() {
        return new MeshBounds(
                Map.of(),
                OptionalLong.empty(),
                OptionalInt.empty(),
                Quota.defaults(),
                Cold.defaults());
    }

    /**
     * Reads the optional object {@code bounds} of a settings file.
     *
     * @param settings JSON object of the settings file
     * @return the bounds, the default ones where the file names none
     */
    public static MeshBounds read(CheckedObject settings) {
        return settings.object("bounds", MeshBounds::readBounds).orElse(defaults());
    }

    private static MeshBounds readBounds(CheckedObject object) {
        Map<String, String> regions = new LinkedHashMap<>();
        object.objects("dataCentres", DataCentre::read)
                .forEach(dataCentre -> regions.put(dataCentre.name(), dataCentre.region()));
        OptionalLong revocation =
                object.has("revocationMillis")
                        ? OptionalLong.of(object.number("revocationMillis", 1, MAX_MILLIS))
                        : OptionalLong.empty();
        OptionalInt losses =
                object.has("toleratedControlLosses")
                        ? OptionalInt.of(
                                (int)
                                        object.number(
                                                "toleratedControlLosses",
                                                0,
                                                MAX_TOLERATED_CONTROL_LOSSES))
                        : OptionalInt.empty();
        return new MeshBounds(
                regions,
                revocation,
                losses,
                object.object("quota", Quota::read).orElse(Quota.defaults()),
                object.object("cold", Cold::read).orElse(Cold.defaults()));
    }

    /**
     * Returns the region of a data centre.
     *
     * @param dataCentre name of the data centre
     * @return its region, or empty when the settings do not list it
     */
    public Optional<String> region(String dataCentre) {
        return Optional.ofNullable(regions.get(dataCentre));
    }
}
