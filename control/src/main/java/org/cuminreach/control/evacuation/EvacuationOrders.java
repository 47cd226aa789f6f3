package org.cuminreach.control.evacuation;

import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cuminreach.control.replica.SubmitResult;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Fault;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Submits the orders of operators that start or end the evacuation of a data centre. */
public final class EvacuationOrders {
    private static final Logger LOGGER = LoggerFactory.getLogger(EvacuationOrders.class);
    private static final int MAX_LOGGED_CHARACTERS = 64;

    private final Supplier<MeshConfiguration> configuration;
    private final Function<MeshCommand, CompletableFuture<SubmitResult>> submitter;
    private final Set<String> listedDataCentres;
    private final Supplier<List<Announcement>> announcements;

    private EvacuationOrders(
            Supplier<MeshConfiguration> configuration,
            Function<MeshCommand, CompletableFuture<SubmitResult>> submitter,
            Set<String> listedDataCentres,
            Supplier<List<Announcement>> announcements) {
        this.configuration = configuration;
        this.submitter = submitter;
        this.listedDataCentres = Set.copyOf(listedDataCentres);
        this.announcements = announcements;
    }

    /**
     * Creates the orders of a control.
     *
     * @param configuration supplies the configuration known here
     * @param submitter submits a command to the leader
     * @param listedDataCentres data centres that the settings list; empty when they list none
     * @param announcements supplies the latest announcement of each target
     * @return the orders
     */
    public static EvacuationOrders create(
            Supplier<MeshConfiguration> configuration,
            Function<MeshCommand, CompletableFuture<SubmitResult>> submitter,
            Set<String> listedDataCentres,
            Supplier<List<Announcement>> announcements) {
        return new EvacuationOrders(configuration, submitter, listedDataCentres, announcements);
    }

    /**
     * Returns the evacuated data centres as known here.
     *
     * @return their names, in alphabetical order
     */
    public List<String> evacuated() {
        return configuration.get().evacuatedDataCentres();
    }

    /**
     * Returns the data centres that may be evacuated: those that the settings list, those with an
     * announced target, and those that are evacuated.
     *
     * @return their names, in alphabetical order
     */
    public SortedSet<String> knownDataCentres() {
        SortedSet<String> known = new TreeSet<>(listedDataCentres);
        announcements.get().forEach(announcement -> known.add(announcement.dataCentre()));
        known.addAll(evacuated());
        return known;
    }

    /**
     * Starts or ends the evacuation of a data centre. Both are idempotent; ending an evacuation
     * that was not started changes nothing.
     *
     * @param operator name of the operator, for the history
     * @param dataCentre name of the data centre
     * @param evacuate true to start the evacuation, false to end it
     * @return completes once the order is durable, or with the reason why it is not; a data centre
     *     that is not known is refused as a fault
     */
    public CompletableFuture<SubmitResult> submit(
            String operator, String dataCentre, boolean evacuate) {
        SortedSet<String> known = knownDataCentres();
        if (!known.contains(dataCentre)) {
            LOGGER.info(
                    "event=evacuation_refused data_centre=\"{}\" evacuate={} operator={}"
                            + " reason=unknown_data_centre",
                    loggable(dataCentre),
                    evacuate,
                    operator);
            Fault fault = new Fault("dataCentre", "is not known; the known ones are " + known);
            return CompletableFuture.completedFuture(
                    new SubmitResult.Decided(
                            new SubmissionOutcome.RefusedAsFaulty(List.of(fault))));
        }
        long versionBefore = configuration.get().version();
        MeshCommand command =
                new MeshCommand.SetEvacuation(
                        operator, dataCentre, evacuate, ProcessClock.wallMillis());
        return submitter
                .apply(command)
                .whenComplete(
                        (result, failure) -> {
                            if (failure == null) {
                                log(operator, dataCentre, evacuate, versionBefore, result);
                            }
                        });
    }

    private static void log(
            String operator,
            String dataCentre,
            boolean evacuate,
            long versionBefore,
            SubmitResult result) {
        String outcome =
                switch (result) {
                    case SubmitResult.Decided decided ->
                            changesNothing(decided.outcome(), versionBefore)
                                    ? "unchanged"
                                    : "durable";
                    case SubmitResult.NotRun notRun -> "not_run";
                    case SubmitResult.Unknown unknown -> "unknown";
                };
        LOGGER.info(
                "event=evacuation_ordered data_centre={} evacuate={} operator={} outcome={}",
                dataCentre,
                evacuate,
                operator,
                outcome);
    }

    /** Tells whether an order named the state that the data centre was in already. */
    private static boolean changesNothing(SubmissionOutcome outcome, long versionBefore) {
        return outcome instanceof SubmissionOutcome.Accepted accepted
                && accepted.version() <= versionBefore;
    }

    private static String loggable(String dataCentre) {
        String printable = dataCentre.replaceAll("[^A-Za-z0-9._-]", "?");
        return printable.substring(0, Math.min(MAX_LOGGED_CHARACTERS, printable.length()));
    }
}
