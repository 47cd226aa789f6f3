package org.cuminreach.decisions.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.Service;
import org.cuminreach.settings.Fault;
import org.cuminreach.settings.ParseResult;

/**
 * The replicated state machine of the controls. It is deterministic: the state depends only on the
 * commands and their log indexes, so that it is the same on each control. Not thread-safe.
 */
public final class MeshState {
    private static final int MAX_HISTORY_ENTRIES = 1_000;
    private static final int MAX_KEY_CHARACTERS = 200;

    private final RetainedOutcomes outcomes = new RetainedOutcomes();
    private final Set<RolledBackVersion> rolledBackVersions = new LinkedHashSet<>();
    private final Deque<HistoryEntry> history = new ArrayDeque<>();
    private MeshConfiguration configuration;

    private MeshState(MeshStateImage image) {
        MeshDocument document =
                switch (DocumentReader.read(image.documentText())) {
                    case ParseResult.Valid<MeshDocument> valid -> valid.value();
                    case ParseResult.Invalid<MeshDocument> invalid ->
                            throw new IllegalStateException(
                                    "cannot read the accepted document: " + invalid.faults());
                };
        configuration =
                new MeshConfiguration(
                        image.version(),
                        image.documentVersion(),
                        document,
                        image.documentText(),
                        image.rollouts(),
                        image.evacuatedDataCentres());
        image.outcomes().forEach(entry -> outcomes.retain(entry.key(), entry.outcome()));
        rolledBackVersions.addAll(image.rolledBackVersions());
        history.addAll(image.history());
    }

    /**
     * Restores the state from an image.
     *
     * @param image the image
     * @return the state
     * @throws IllegalStateException if the document in the image is not valid
     */
    public static MeshState of(MeshStateImage image) {
        return new MeshState(image);
    }

    /**
     * Returns an image of the complete state, for a snapshot.
     *
     * @return an immutable copy
     */
    public MeshStateImage image() {
        return new MeshStateImage(
                configuration.version(),
                configuration.documentVersion(),
                configuration.documentText(),
                configuration.rollouts(),
                List.copyOf(rolledBackVersions),
                outcomes.all(),
                List.copyOf(history),
                configuration.evacuatedDataCentres());
    }

    /**
     * Returns the configuration.
     *
     * @return the configuration after the latest command
     */
    public MeshConfiguration configuration() {
        return configuration;
    }

    /**
     * Returns the change history.
     *
     * @return the latest entries, oldest first
     */
    public List<HistoryEntry> history() {
        return List.copyOf(history);
    }

    /**
     * Finds the outcome of an earlier submission.
     *
     * @param key idempotency key
     * @return the outcome, or empty if it is not retained
     */
    public Optional<SubmissionOutcome> previousOutcome(String key) {
        return outcomes.find(key);
    }

    /**
     * Finds the outcome of an earlier submission with the same key. A submission that was refused
     * as stale is evaluated again if it is now based on the current document.
     *
     * @param command the command
     * @return the outcome, or empty if the command is to be evaluated or is not a submission
     */
    public Optional<SubmissionOutcome> previousOutcome(MeshCommand command) {
        return switch (command) {
            case MeshCommand.SubmitDocument submission ->
                    previousOutcome(submission.key(), submission.basedOn());
            case MeshCommand.EditDocument edit -> previousOutcome(edit.key(), edit.basedOn());
            case MeshCommand.StepRollout step -> Optional.empty();
            case MeshCommand.SetEvacuation evacuation -> Optional.empty();
        };
    }

    private Optional<SubmissionOutcome> previousOutcome(String key, long basedOn) {
        return previousOutcome(key)
                .filter(
                        known ->
                                !(known instanceof SubmissionOutcome.RefusedAsStale)
                                        || basedOn != configuration.documentVersion());
    }

    /**
     * Applies a command.
     *
     * @param index index of its log entry
     * @param command the command
     * @return the outcome of a submission or an evacuation, or empty for other commands
     */
    public Optional<SubmissionOutcome> apply(long index, MeshCommand command) {
        return switch (command) {
            case MeshCommand.SubmitDocument submission -> Optional.of(submit(index, submission));
            case MeshCommand.EditDocument edit -> Optional.of(edit(index, edit));
            case MeshCommand.StepRollout step -> {
                stepRollout(index, step);
                yield Optional.empty();
            }
            case MeshCommand.SetEvacuation evacuation ->
                    Optional.of(setEvacuation(index, evacuation));
        };
    }

    private SubmissionOutcome edit(long index, MeshCommand.EditDocument edit) {
        boolean applies =
                edit.basedOn() != configuration.documentVersion()
                        || edit.edit().fits(configuration.documentText());
        return applies
                ? submit(index, toSubmission(edit))
                : previousOutcome(edit).orElseGet(() -> refuseUnfit(edit));
    }

    private SubmissionOutcome refuseUnfit(MeshCommand.EditDocument edit) {
        Fault fault = new Fault("edit", "keeps a range outside the document in force");
        SubmissionOutcome outcome = new SubmissionOutcome.RefusedAsFaulty(List.of(fault));
        outcomes.retain(edit.key(), outcome);
        return outcome;
    }

    /**
     * Converts an edit to a full submission. The text stays empty if the edit is not based on the
     * current document, since it is then refused as stale.
     */
    private MeshCommand.SubmitDocument toSubmission(MeshCommand.EditDocument edit) {
        boolean current = edit.basedOn() == configuration.documentVersion();
        return new MeshCommand.SubmitDocument(
                edit.operator(),
                edit.key(),
                edit.basedOn(),
                current ? edit.edit().applyTo(configuration.documentText()) : "",
                edit.atMillis());
    }

    private SubmissionOutcome submit(long index, MeshCommand.SubmitDocument submission) {
        Optional<SubmissionOutcome> previous = previousOutcome(submission);
        if (previous.isPresent()) {
            return previous.get();
        }
        SubmissionOutcome outcome = evaluate(index, submission);
        outcomes.retain(submission.key(), outcome);
        return outcome;
    }

    private SubmissionOutcome evaluate(long index, MeshCommand.SubmitDocument submission) {
        if (submission.key().isEmpty() || submission.key().length() > MAX_KEY_CHARACTERS) {
            Fault fault = new Fault("key", "must have 1 to " + MAX_KEY_CHARACTERS + " characters");
            return new SubmissionOutcome.RefusedAsFaulty(List.of(fault));
        }
        if (submission.basedOn() != configuration.documentVersion()) {
            return new SubmissionOutcome.RefusedAsStale(configuration.documentVersion());
        }
        return switch (DocumentReader.read(submission.text())) {
            case ParseResult.Invalid<MeshDocument> invalid ->
                    new SubmissionOutcome.RefusedAsFaulty(invalid.faults());
            case ParseResult.Valid<MeshDocument> valid -> accept(index, submission, valid.value());
        };
    }

    private SubmissionOutcome accept(
            long index, MeshCommand.SubmitDocument submission, MeshDocument document) {
        List<Fault> faults = findRolledBackVersions(document);
        if (document.revision() < configuration.document().revision()) {
            faults.add(
                    new Fault(
                            "revision",
                            "is older than "
                                    + configuration.document().revision()
                                    + ", which is in force"));
        }
        if (!faults.isEmpty()) {
            return new SubmissionOutcome.RefusedAsFaulty(faults);
        }
        configuration =
                new MeshConfiguration(
                        index,
                        index,
                        document,
                        submission.text(),
                        rolloutsOf(document, submission.atMillis()),
                        configuration.evacuatedDataCentres());
        record(index, submission.atMillis(), submission.operator(), "document accepted");
        return new SubmissionOutcome.Accepted(index);
    }

    private List<Fault> findRolledBackVersions(MeshDocument document) {
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < document.services().size(); i++) {
            Service service = document.services().get(i);
            String path = "services[" + i + "]";
            service.version()
                    .filter(
                            version ->
                                    rolledBackVersions.contains(
                                            new RolledBackVersion(service.name(), version)))
                    .ifPresent(
                            version ->
                                    faults.add(
                                            new Fault(
                                                    path + ".version", rolledBackReason(version))));
            service.rollout()
                    .filter(
                            rollout ->
                                    reintroducesRolledBackVersion(
                                            service.name(), rollout.version()))
                    .ifPresent(
                            rollout ->
                                    faults.add(
                                            new Fault(
                                                    path + ".rollout.version",
                                                    rolledBackReason(rollout.version()))));
        }
        return faults;
    }

    /**
     * Returns whether a document adds a version that was rolled back. A document may keep naming
     * the version of a rollout that was rolled back while the document was in use.
     */
    private boolean reintroducesRolledBackVersion(String service, String version) {
        boolean inCurrentRollout =
                configuration
                        .rollout(service)
                        .map(progress -> progress.version().equals(version))
                        .orElse(false);
        return rolledBackVersions.contains(new RolledBackVersion(service, version))
                && !inCurrentRollout;
    }

    private static String rolledBackReason(String version) {
        return "is \"" + version + "\", which was taken back; give the mended build a new name";
    }

    private List<RolloutProgress> rolloutsOf(MeshDocument document, long atMillis) {
        List<RolloutProgress> progress = new ArrayList<>();
        for (Service service : document.services()) {
            service.rollout()
                    .ifPresent(rollout -> progress.add(progressOf(service, rollout, atMillis)));
        }
        return progress;
    }

    private RolloutProgress progressOf(Service service, Rollout rollout, long atMillis) {
        RolloutProgress initial =
                new RolloutProgress(
                        service.name(),
                        rollout.version(),
                        RolloutPhase.MOVING,
                        0,
                        atMillis,
                        atMillis,
                        "accepted");
        return configuration
                .rollout(service.name())
                .filter(known -> known.version().equals(rollout.version()))
                .orElse(initial);
    }

    private void stepRollout(long index, MeshCommand.StepRollout step) {
        Optional<RolloutProgress> current =
                configuration
                        .rollout(step.service())
                        .filter(progress -> progress.version().equals(step.version()))
                        .filter(progress -> canTransition(progress.phase(), step.phase()));
        if (current.isEmpty()) {
            return;
        }
        RolloutProgress next =
                new RolloutProgress(
                        step.service(),
                        step.version(),
                        step.phase(),
                        step.sharePerMille(),
                        current.get().startedMillis(),
                        step.atMillis(),
                        step.reason());
        if (step.phase() == RolloutPhase.TAKEN_BACK) {
            rolledBackVersions.add(new RolledBackVersion(step.service(), step.version()));
        }
        replaceRollout(index, next);
        record(index, step.atMillis(), "rollout judge", describe(step));
    }

    /** A rollback is final; a completed rollout can only be rolled back. */
    private static boolean canTransition(RolloutPhase current, RolloutPhase next) {
        return switch (current) {
            case MOVING, LATE -> true;
            case DONE -> next == RolloutPhase.TAKEN_BACK;
            case TAKEN_BACK -> false;
        };
    }

    private void replaceRollout(long index, RolloutProgress next) {
        List<RolloutProgress> rollouts = new ArrayList<>(configuration.rollouts());
        rollouts.replaceAll(
                progress -> progress.service().equals(next.service()) ? next : progress);
        configuration =
                new MeshConfiguration(
                        index,
                        configuration.documentVersion(),
                        configuration.document(),
                        configuration.documentText(),
                        rollouts,
                        configuration.evacuatedDataCentres());
    }

    private SubmissionOutcome setEvacuation(long index, MeshCommand.SetEvacuation evacuation) {
        String dataCentre = evacuation.dataCentre();
        if (configuration.isEvacuated(dataCentre) == evacuation.evacuated()) {
            return new SubmissionOutcome.Accepted(configuration.version());
        }
        SortedSet<String> evacuated = new TreeSet<>(configuration.evacuatedDataCentres());
        if (evacuation.evacuated()) {
            evacuated.add(dataCentre);
        } else {
            evacuated.remove(dataCentre);
        }
        configuration =
                new MeshConfiguration(
                        index,
                        configuration.documentVersion(),
                        configuration.document(),
                        configuration.documentText(),
                        configuration.rollouts(),
                        List.copyOf(evacuated));
        String event = evacuation.evacuated() ? "evacuation started: " : "evacuation ended: ";
        record(index, evacuation.atMillis(), evacuation.operator(), event + dataCentre);
        return new SubmissionOutcome.Accepted(index);
    }

    private static String describe(MeshCommand.StepRollout step) {
        return "%s version %s: %s, share %d per mille: %s"
                .formatted(
                        step.service(),
                        step.version(),
                        step.phase(),
                        step.sharePerMille(),
                        step.reason());
    }

    private void record(long index, long atMillis, String actor, String event) {
        history.add(new HistoryEntry(index, atMillis, actor, event));
        if (history.size() > MAX_HISTORY_ENTRIES) {
            history.removeFirst();
        }
    }
}
