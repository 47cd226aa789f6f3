package org.cuminreach.decisions.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.Service;
import org.cuminreach.settings.Fault;
import org.cuminreach.settings.ParseResult;

/**
 * The state that the log's commands build, the same on each control. Deterministic: it depends on
 * the commands and their indexes alone. Not safe for use by several threads at once.
 */
public final class MeshState {
    private static final int REMEMBERED_ANSWERS = 10_000;
    private static final int REMEMBERED_FAULTS = 100_000;
    private static final int HISTORY_ENTRIES = 1_000;
    private static final int LONGEST_KEY = 200;

    private final Map<String, SubmissionOutcome> answers = new LinkedHashMap<>();
    private final Set<TakenBackVersion> takenBack = new LinkedHashSet<>();
    private final Deque<HistoryEntry> history = new ArrayDeque<>();
    private MeshConfiguration configuration;
    private int rememberedFaults;

    private MeshState(MeshStateImage image) {
        MeshDocument document =
                switch (DocumentReader.read(image.documentText())) {
                    case ParseResult.Valid<MeshDocument> sound -> sound.value();
                    case ParseResult.Invalid<MeshDocument> faulty ->
                            throw new IllegalStateException(
                                    "an accepted document no longer reads: " + faulty.faults());
                };
        configuration =
                new MeshConfiguration(
                        image.version(),
                        image.documentVersion(),
                        document,
                        image.documentText(),
                        image.rollouts());
        image.answers().forEach(answer -> remember(answer.key(), answer.outcome()));
        takenBack.addAll(image.takenBack());
        history.addAll(image.history());
    }

    /**
     * Restores a state.
     *
     * @param image the state to restore
     * @return the state
     * @throws IllegalStateException when the image's document does not read
     */
    public static MeshState of(MeshStateImage image) {
        return new MeshState(image);
    }

    /**
     * Returns the whole state, for a snapshot.
     *
     * @return an immutable copy
     */
    public MeshStateImage image() {
        List<MeshStateImage.RememberedAnswer> remembered = new ArrayList<>();
        answers.forEach(
                (key, outcome) ->
                        remembered.add(new MeshStateImage.RememberedAnswer(key, outcome)));
        return new MeshStateImage(
                configuration.version(),
                configuration.documentVersion(),
                configuration.documentText(),
                configuration.rollouts(),
                List.copyOf(takenBack),
                remembered,
                List.copyOf(history));
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
     * Returns the history.
     *
     * @return the latest entries, oldest first
     */
    public List<HistoryEntry> history() {
        return List.copyOf(history);
    }

    /**
     * Finds the answer that an earlier submission got.
     *
     * @param key idempotency key
     * @return its answer, or empty when unknown
     */
    public Optional<SubmissionOutcome> answer(String key) {
        return Optional.ofNullable(answers.get(key));
    }

    /**
     * Finds the answer that an earlier submission with the same key got. One that was refused as
     * stale is judged anew when it comes again on top of the present document.
     *
     * @param command the command
     * @return its answer, or empty when it is to be judged or is no submission
     */
    public Optional<SubmissionOutcome> answer(MeshCommand command) {
        return switch (command) {
            case MeshCommand.SubmitDocument submission ->
                    answer(submission.key(), submission.basedOn());
            case MeshCommand.EditDocument edit -> answer(edit.key(), edit.basedOn());
            case MeshCommand.StepRollout step -> Optional.empty();
        };
    }

    private Optional<SubmissionOutcome> answer(String key, long basedOn) {
        return answer(key)
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
     * @return the answer to a submission, or empty for other commands
     */
    public Optional<SubmissionOutcome> apply(long index, MeshCommand command) {
        return switch (command) {
            case MeshCommand.SubmitDocument submission -> Optional.of(submit(index, submission));
            case MeshCommand.EditDocument edit -> Optional.of(submit(index, whole(edit)));
            case MeshCommand.StepRollout step -> {
                stepRollout(index, step);
                yield Optional.empty();
            }
        };
    }

    /**
     * Makes the whole submission; one that is not based on the present document is stale anyway.
     */
    private MeshCommand.SubmitDocument whole(MeshCommand.EditDocument change) {
        boolean current = change.basedOn() == configuration.documentVersion();
        return new MeshCommand.SubmitDocument(
                change.operator(),
                change.key(),
                change.basedOn(),
                current ? change.edit().applyTo(configuration.documentText()) : "",
                change.atMillis());
    }

    private SubmissionOutcome submit(long index, MeshCommand.SubmitDocument submission) {
        Optional<SubmissionOutcome> first = answer(submission);
        if (first.isPresent()) {
            return first.get();
        }
        SubmissionOutcome outcome = judge(index, submission);
        remember(submission.key(), outcome);
        return outcome;
    }

    private SubmissionOutcome judge(long index, MeshCommand.SubmitDocument submission) {
        if (submission.key().isEmpty() || submission.key().length() > LONGEST_KEY) {
            Fault fault = new Fault("key", "must have 1 to " + LONGEST_KEY + " characters");
            return new SubmissionOutcome.RefusedAsFaulty(List.of(fault));
        }
        if (submission.basedOn() != configuration.documentVersion()) {
            return new SubmissionOutcome.RefusedAsStale(configuration.documentVersion());
        }
        return switch (DocumentReader.read(submission.text())) {
            case ParseResult.Invalid<MeshDocument> faulty ->
                    new SubmissionOutcome.RefusedAsFaulty(faulty.faults());
            case ParseResult.Valid<MeshDocument> sound -> accept(index, submission, sound.value());
        };
    }

    private SubmissionOutcome accept(
            long index, MeshCommand.SubmitDocument submission, MeshDocument document) {
        List<Fault> faults = refuseTakenBack(document);
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
                        rolloutsOf(document, submission.atMillis()));
        record(index, submission.atMillis(), submission.operator(), "document accepted");
        return new SubmissionOutcome.Accepted(index);
    }

    private List<Fault> refuseTakenBack(MeshDocument document) {
        List<Fault> faults = new ArrayList<>();
        for (int at = 0; at < document.services().size(); at++) {
            Service service = document.services().get(at);
            String path = "services[" + at + "]";
            service.version()
                    .filter(
                            version ->
                                    takenBack.contains(
                                            new TakenBackVersion(service.name(), version)))
                    .ifPresent(
                            version ->
                                    faults.add(
                                            new Fault(
                                                    path + ".version", takenBackReason(version))));
            service.rollout()
                    .filter(rollout -> isNewlyWanted(service.name(), rollout.version()))
                    .ifPresent(
                            rollout ->
                                    faults.add(
                                            new Fault(
                                                    path + ".rollout.version",
                                                    takenBackReason(rollout.version()))));
        }
        return faults;
    }

    /** A document may still name the version whose taking back it has seen. */
    private boolean isNewlyWanted(String service, String version) {
        boolean wantedBefore =
                configuration
                        .rollout(service)
                        .map(progress -> progress.version().equals(version))
                        .orElse(false);
        return takenBack.contains(new TakenBackVersion(service, version)) && !wantedBefore;
    }

    private static String takenBackReason(String version) {
        return "is \"" + version + "\", which was taken back; give the mended build a new name";
    }

    private List<RolloutProgress> rolloutsOf(MeshDocument document, long atMillis) {
        List<RolloutProgress> progress = new ArrayList<>();
        for (Service service : document.services()) {
            service.rollout()
                    .ifPresent(wanted -> progress.add(progressOf(service, wanted, atMillis)));
        }
        return progress;
    }

    private RolloutProgress progressOf(Service service, Rollout wanted, long atMillis) {
        RolloutProgress fresh =
                new RolloutProgress(
                        service.name(),
                        wanted.version(),
                        RolloutPhase.MOVING,
                        0,
                        atMillis,
                        atMillis,
                        "accepted");
        return configuration
                .rollout(service.name())
                .filter(known -> known.version().equals(wanted.version()))
                .orElse(fresh);
    }

    private void stepRollout(long index, MeshCommand.StepRollout step) {
        Optional<RolloutProgress> known =
                configuration
                        .rollout(step.service())
                        .filter(progress -> progress.version().equals(step.version()))
                        .filter(progress -> mayFollow(progress.phase(), step.phase()));
        if (known.isEmpty()) {
            return;
        }
        RolloutProgress next =
                new RolloutProgress(
                        step.service(),
                        step.version(),
                        step.phase(),
                        step.sharePerMille(),
                        known.get().startedMillis(),
                        step.atMillis(),
                        step.reason());
        if (step.phase() == RolloutPhase.TAKEN_BACK) {
            takenBack.add(new TakenBackVersion(step.service(), step.version()));
        }
        replaceRollout(index, next);
        record(index, step.atMillis(), "rollout judge", describe(step));
    }

    /** What was taken back stays so; what is done moves no more, but can still be taken back. */
    private static boolean mayFollow(RolloutPhase known, RolloutPhase next) {
        return switch (known) {
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
                        rollouts);
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

    /** Forgets the oldest answers beyond a number of answers or of faults in them. */
    private void remember(String key, SubmissionOutcome outcome) {
        answers.put(key, outcome);
        rememberedFaults += faultsIn(outcome);
        while (answers.size() > REMEMBERED_ANSWERS
                || rememberedFaults > REMEMBERED_FAULTS && answers.size() > 1) {
            String oldest = answers.keySet().iterator().next();
            rememberedFaults -= faultsIn(answers.remove(oldest));
        }
    }

    private static int faultsIn(SubmissionOutcome outcome) {
        return outcome instanceof SubmissionOutcome.RefusedAsFaulty faulty
                ? faulty.faults().size()
                : 0;
    }

    private void record(long index, long atMillis, String actor, String event) {
        history.add(new HistoryEntry(index, atMillis, actor, event));
        if (history.size() > HISTORY_ENTRIES) {
            history.removeFirst();
        }
    }
}
