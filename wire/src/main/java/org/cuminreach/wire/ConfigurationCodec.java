package org.cuminreach.wire;

import java.util.ArrayList;
import java.util.List;
import org.cuminreach.decisions.configuration.DocumentEdit;
import org.cuminreach.decisions.configuration.HistoryEntry;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.decisions.configuration.RolledBackVersion;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.settings.Fault;
import org.cuminreach.wire.generated.AnswerStruct;
import org.cuminreach.wire.generated.CommandStruct;
import org.cuminreach.wire.generated.EditDocumentStruct;
import org.cuminreach.wire.generated.EditPartStruct;
import org.cuminreach.wire.generated.FaultStruct;
import org.cuminreach.wire.generated.HistoryStruct;
import org.cuminreach.wire.generated.OutcomeStruct;
import org.cuminreach.wire.generated.RolloutStruct;
import org.cuminreach.wire.generated.SetEvacuationStruct;
import org.cuminreach.wire.generated.StateStruct;
import org.cuminreach.wire.generated.StepRolloutStruct;
import org.cuminreach.wire.generated.SubmitDocumentStruct;
import org.cuminreach.wire.generated.TakenBackStruct;

/**
 * Converts commands, submission outcomes, faults, rollouts and the replicated state to and from
 * their Thrift structs.
 */
public final class ConfigurationCodec {
    private ConfigurationCodec() {}

    /**
     * Converts a command to its struct.
     *
     * @param command the command
     * @return the struct
     */
    public static CommandStruct toStruct(MeshCommand command) {
        return switch (command) {
            case MeshCommand.SubmitDocument submission ->
                    CommandStruct.submitDocument(
                            new SubmitDocumentStruct(
                                    submission.operator(),
                                    submission.key(),
                                    submission.basedOn(),
                                    submission.text(),
                                    submission.atMillis()));
            case MeshCommand.EditDocument change ->
                    CommandStruct.editDocument(
                            new EditDocumentStruct(
                                    change.operator(),
                                    change.key(),
                                    change.basedOn(),
                                    change.edit().parts().stream()
                                            .map(ConfigurationCodec::toStruct)
                                            .toList(),
                                    change.atMillis()));
            case MeshCommand.StepRollout step ->
                    CommandStruct.stepRollout(
                            new StepRolloutStruct(
                                    step.service(),
                                    step.version(),
                                    step.phase().ordinal(),
                                    step.sharePerMille(),
                                    step.reason(),
                                    step.atMillis()));
            case MeshCommand.SetEvacuation evacuation ->
                    CommandStruct.setEvacuation(
                            new SetEvacuationStruct(
                                    evacuation.operator(),
                                    evacuation.dataCentre(),
                                    evacuation.evacuated(),
                                    evacuation.atMillis()));
        };
    }

    /**
     * Converts a struct to its command.
     *
     * @param struct the struct
     * @return the command
     * @throws MalformedFrameException when the type of the command is unknown
     */
    public static MeshCommand toCommand(CommandStruct struct) throws MalformedFrameException {
        if (struct.getSetField() == null) {
            throw new MalformedFrameException("unknown type of command");
        }
        return switch (struct.getSetField()) {
            case SUBMIT_DOCUMENT -> {
                SubmitDocumentStruct submission = struct.getSubmitDocument();
                yield new MeshCommand.SubmitDocument(
                        submission.getOperatorName(),
                        submission.getKey(),
                        submission.getBasedOn(),
                        submission.getText(),
                        submission.getAtMillis());
            }
            case EDIT_DOCUMENT -> {
                EditDocumentStruct change = struct.getEditDocument();
                yield new MeshCommand.EditDocument(
                        change.getOperatorName(),
                        change.getKey(),
                        change.getBasedOn(),
                        toEdit(change.getParts()),
                        change.getAtMillis());
            }
            case STEP_ROLLOUT -> {
                StepRolloutStruct step = struct.getStepRollout();
                yield new MeshCommand.StepRollout(
                        step.getServiceName(),
                        step.getVersion(),
                        toPhase(step.getPhase()),
                        step.getSharePerMille(),
                        step.getReason(),
                        step.getAtMillis());
            }
            case SET_EVACUATION -> {
                SetEvacuationStruct evacuation = struct.getSetEvacuation();
                yield new MeshCommand.SetEvacuation(
                        evacuation.getOperatorName(),
                        evacuation.getDataCentre(),
                        evacuation.isEvacuated(),
                        evacuation.getAtMillis());
            }
        };
    }

    /**
     * Converts the outcome of a submission to its struct.
     *
     * @param outcome the outcome
     * @return the struct
     */
    public static OutcomeStruct toStruct(SubmissionOutcome outcome) {
        return switch (outcome) {
            case SubmissionOutcome.Accepted accepted -> OutcomeStruct.accepted(accepted.version());
            case SubmissionOutcome.RefusedAsStale stale ->
                    OutcomeStruct.refusedAsStale(stale.currentVersion());
            case SubmissionOutcome.RefusedAsFaulty faulty ->
                    OutcomeStruct.refusedAsFaulty(toStructs(faulty.faults()));
        };
    }

    /**
     * Converts a struct to the outcome of a submission.
     *
     * @param struct the struct
     * @return the outcome
     * @throws MalformedFrameException when the type of the outcome is unknown
     */
    public static SubmissionOutcome toOutcome(OutcomeStruct struct) throws MalformedFrameException {
        if (struct.getSetField() == null) {
            throw new MalformedFrameException("unknown type of submission outcome");
        }
        return switch (struct.getSetField()) {
            case ACCEPTED -> new SubmissionOutcome.Accepted(struct.getAccepted());
            case REFUSED_AS_STALE ->
                    new SubmissionOutcome.RefusedAsStale(struct.getRefusedAsStale());
            case REFUSED_AS_FAULTY ->
                    new SubmissionOutcome.RefusedAsFaulty(toFaults(struct.getRefusedAsFaulty()));
        };
    }

    /**
     * Encodes the replicated state.
     *
     * @param image the state
     * @return its bytes
     */
    public static byte[] encode(MeshStateImage image) {
        StateStruct struct =
                new StateStruct(
                        image.version(),
                        image.documentVersion(),
                        image.documentText(),
                        image.rollouts().stream().map(ConfigurationCodec::toStruct).toList(),
                        image.rolledBackVersions().stream()
                                .map(
                                        rolledBack ->
                                                new TakenBackStruct(
                                                        rolledBack.service(), rolledBack.version()))
                                .toList(),
                        image.outcomes().stream()
                                .map(
                                        answer ->
                                                new AnswerStruct(
                                                        answer.key(), toStruct(answer.outcome())))
                                .toList(),
                        image.history().stream()
                                .map(
                                        entry ->
                                                new HistoryStruct(
                                                        entry.version(),
                                                        entry.atMillis(),
                                                        entry.actor(),
                                                        entry.event()))
                                .toList());
        if (!image.evacuatedDataCentres().isEmpty()) {
            struct.setEvacuatedDataCentres(image.evacuatedDataCentres());
        }
        return StructCodec.encode(struct);
    }

    /**
     * Decodes the replicated state.
     *
     * @param bytes its bytes
     * @return the state
     * @throws MalformedFrameException when the bytes are not a valid encoded state
     */
    public static MeshStateImage decodeState(byte[] bytes) throws MalformedFrameException {
        StateStruct struct = StructCodec.decode(bytes, new StateStruct());
        List<MeshStateImage.RetainedOutcome> answers = new ArrayList<>();
        for (AnswerStruct answer : struct.getAnswers()) {
            answers.add(
                    new MeshStateImage.RetainedOutcome(
                            answer.getKey(), toOutcome(answer.getOutcome())));
        }
        return new MeshStateImage(
                struct.getVersion(),
                struct.getDocumentVersion(),
                struct.getDocumentText(),
                toRollouts(struct.getRollouts()),
                struct.getTakenBack().stream()
                        .map(
                                rolledBack ->
                                        new RolledBackVersion(
                                                rolledBack.getServiceName(),
                                                rolledBack.getVersion()))
                        .toList(),
                answers,
                struct.getHistory().stream()
                        .map(
                                entry ->
                                        new HistoryEntry(
                                                entry.getVersion(),
                                                entry.getAtMillis(),
                                                entry.getActor(),
                                                entry.getEvent()))
                        .toList(),
                struct.isSetEvacuatedDataCentres() ? struct.getEvacuatedDataCentres() : List.of());
    }

    /**
     * Converts faults to their structs.
     *
     * @param faults the faults
     * @return the structs
     */
    public static List<FaultStruct> toStructs(List<Fault> faults) {
        return faults.stream().map(fault -> new FaultStruct(fault.path(), fault.reason())).toList();
    }

    /**
     * Converts structs to their faults.
     *
     * @param structs the structs
     * @return the faults
     */
    public static List<Fault> toFaults(List<FaultStruct> structs) {
        return structs.stream()
                .map(struct -> new Fault(struct.getPath(), struct.getReason()))
                .toList();
    }

    static RolloutStruct toStruct(RolloutProgress progress) {
        return new RolloutStruct(
                progress.service(),
                progress.version(),
                progress.phase().ordinal(),
                progress.sharePerMille(),
                progress.startedMillis(),
                progress.steppedMillis(),
                progress.reason());
    }

    static List<RolloutProgress> toRollouts(List<RolloutStruct> structs)
            throws MalformedFrameException {
        List<RolloutProgress> rollouts = new ArrayList<>();
        for (RolloutStruct struct : structs) {
            rollouts.add(
                    new RolloutProgress(
                            struct.getServiceName(),
                            struct.getVersion(),
                            toPhase(struct.getPhase()),
                            struct.getSharePerMille(),
                            struct.getStartedMillis(),
                            struct.getSteppedMillis(),
                            struct.getReason()));
        }
        return rollouts;
    }

    private static EditPartStruct toStruct(DocumentEdit.Part part) {
        return switch (part) {
            case DocumentEdit.Part.Kept kept ->
                    new EditPartStruct().setKeptFrom(kept.from()).setKeptLength(kept.length());
            case DocumentEdit.Part.Added added -> new EditPartStruct().setAdded(added.text());
        };
    }

    private static DocumentEdit toEdit(List<EditPartStruct> structs) {
        List<DocumentEdit.Part> parts = new ArrayList<>();
        for (EditPartStruct part : structs) {
            parts.add(
                    part.isSetAdded()
                            ? new DocumentEdit.Part.Added(part.getAdded())
                            : new DocumentEdit.Part.Kept(part.getKeptFrom(), part.getKeptLength()));
        }
        return new DocumentEdit(parts);
    }

    private static RolloutPhase toPhase(int ordinal) throws MalformedFrameException {
        RolloutPhase[] phases = RolloutPhase.values();
        if (ordinal < 0 || ordinal >= phases.length) {
            throw new MalformedFrameException("unknown rollout phase " + ordinal);
        }
        return phases[ordinal];
    }
}
