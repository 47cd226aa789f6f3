package org.cuminreach.control.replica;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.decisions.agreement.Effect;
import org.cuminreach.decisions.agreement.MembershipRequest;
import org.cuminreach.decisions.agreement.ProposalOutcome;
import org.cuminreach.decisions.agreement.Replica;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Appends commands and membership changes to the log of the leader, or rejects them. */
final class ProposalHandler {
    private static final Logger LOGGER = LoggerFactory.getLogger(ProposalHandler.class);
    private static final String NOT_LEADER = "this control does not lead";

    /** Bounds the elections when the disks of all controls are full, in milliseconds. */
    private static final long RESIGNATION_INTERVAL_MILLIS = 60_000;

    private final Replica replica;
    private final ReplicaStorage storage;
    private final ReplicatedState state;
    private final PendingProposals pending;
    private OptionalLong resignedMillis = OptionalLong.empty();

    ProposalHandler(
            Replica replica,
            ReplicaStorage storage,
            ReplicatedState state,
            PendingProposals pending) {
        this.replica = replica;
        this.storage = storage;
        this.state = state;
        this.pending = pending;
    }

    /** Proposes a command; a remembered outcome is final, so any control may return it. */
    List<Effect> propose(
            MeshCommand command,
            byte[] bytes,
            long nowMillis,
            CompletableFuture<SubmitResult> result,
            Completions completions) {
        Optional<SubmissionOutcome> previous = state.previousOutcome(command);
        if (previous.isPresent()) {
            completions.add(() -> result.complete(new SubmitResult.Decided(previous.get())));
            return List.of();
        }
        if (replica.isLeader() && !hasSpaceFor(bytes)) {
            rejectCommand("the disk of the leading control is nearly full", result, completions);
            return resign(nowMillis);
        }
        return switch (replica.propose(nowMillis, bytes)) {
            case ProposalOutcome.Appended appended -> {
                pending.add(appended.index(), appended.term(), command, result, completions);
                yield appended.effects();
            }
            case ProposalOutcome.NotLeader notLeader ->
                    rejectCommand(NOT_LEADER, result, completions);
            case ProposalOutcome.Refused refused ->
                    rejectCommand(refused.reason(), result, completions);
        };
    }

    /** Leaves the lead to a control whose disk may have space, unless this was tried lately. */
    private List<Effect> resign(long nowMillis) {
        boolean resignedLately =
                resignedMillis.isPresent()
                        && nowMillis - resignedMillis.getAsLong() < RESIGNATION_INTERVAL_MILLIS;
        if (resignedLately || replica.membership().voters().size() == 1) {
            return List.of();
        }
        resignedMillis = OptionalLong.of(nowMillis);
        LOGGER.warn("event=leader_resigned reason=disk_nearly_full term={}", replica.term());
        return replica.resign(nowMillis);
    }

    List<Effect> changeMembership(
            MembershipRequest request,
            long nowMillis,
            CompletableFuture<Optional<String>> result,
            Completions completions) {
        return switch (request.decide(replica.membership())) {
            case MembershipRequest.Decision.Refused refused ->
                    rejectMembershipChange(refused.reason(), result, completions);
            case MembershipRequest.Decision.Change change ->
                    switch (replica.changeMembership(nowMillis, change.next())) {
                        case ProposalOutcome.Appended appended -> {
                            LOGGER.info(
                                    "event=membership_changed request={} members={}",
                                    request,
                                    change.next().members());
                            completions.add(() -> result.complete(Optional.empty()));
                            yield appended.effects();
                        }
                        case ProposalOutcome.NotLeader notLeader ->
                                rejectMembershipChange(NOT_LEADER, result, completions);
                        case ProposalOutcome.Refused refused ->
                                rejectMembershipChange(refused.reason(), result, completions);
                    };
        };
    }

    private boolean hasSpaceFor(byte[] bytes) {
        try {
            return storage.hasSpaceFor(bytes.length);
        } catch (IOException failure) {
            LOGGER.warn("event=disk_space_unknown reason={}", failure.toString());
            return false;
        }
    }

    private static List<Effect> rejectCommand(
            String reason, CompletableFuture<SubmitResult> result, Completions completions) {
        completions.add(() -> result.complete(new SubmitResult.NotRun(reason)));
        return List.of();
    }

    private static List<Effect> rejectMembershipChange(
            String reason, CompletableFuture<Optional<String>> result, Completions completions) {
        completions.add(() -> result.complete(Optional.of(reason)));
        return List.of();
    }
}
