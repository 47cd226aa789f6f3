package org.cuminreach.control.replica;

import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.SubmissionOutcome;

/**
 * Commands proposed on this control that wait for their index to be applied. Used only by the
 * writer thread.
 */
final class PendingProposals {
    private record Proposal(
            long term, MeshCommand command, CompletableFuture<SubmitResult> result) {}

    private final TreeMap<Long, Proposal> byIndex = new TreeMap<>();

    /**
     * Adds a command. The outcome of a command of an earlier term at the same index becomes
     * unknown, since a later leader may still commit it.
     */
    void add(
            long index,
            long term,
            MeshCommand command,
            CompletableFuture<SubmitResult> result,
            Completions completions) {
        Proposal replaced = byIndex.put(index, new Proposal(term, command, result));
        if (replaced != null) {
            SubmitResult unknown = new SubmitResult.Unknown("another leader took over meanwhile");
            completions.add(() -> replaced.result().complete(unknown));
        }
    }

    /** Completes the command at an applied index; an entry of another term has replaced it. */
    void completeApplied(
            LogEntry entry, Optional<SubmissionOutcome> outcome, Completions completions) {
        Proposal proposal = byIndex.remove(entry.index());
        if (proposal == null) {
            return;
        }
        SubmitResult result =
                entry.term() == proposal.term()
                        ? new SubmitResult.Decided(
                                outcome.orElseGet(
                                        () -> new SubmissionOutcome.Accepted(entry.index())))
                        : new SubmitResult.NotRun("another leader took over before it was agreed");
        completions.add(() -> proposal.result().complete(result));
    }

    /** Completes the commands at indexes that a snapshot has replaced. */
    void completeSkipped(
            long lastIndex,
            Function<MeshCommand, Optional<SubmissionOutcome>> previousOutcomes,
            Completions completions) {
        while (!byIndex.isEmpty() && byIndex.firstKey() <= lastIndex) {
            Proposal proposal = byIndex.pollFirstEntry().getValue();
            SubmitResult result =
                    previousOutcomes
                            .apply(proposal.command())
                            .<SubmitResult>map(SubmitResult.Decided::new)
                            .orElseGet(
                                    () ->
                                            new SubmitResult.Unknown(
                                                    "its place in the log was skipped"));
            completions.add(() -> proposal.result().complete(result));
        }
    }
}
