package org.cuminreach.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.agreement.Message;
import org.cuminreach.decisions.agreement.Payload;
import org.cuminreach.decisions.agreement.Snapshot;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.generated.AgreementStruct;
import org.cuminreach.wire.generated.AppendRequestStruct;
import org.cuminreach.wire.generated.AppendResponseStruct;
import org.cuminreach.wire.generated.ConfirmRequestStruct;
import org.cuminreach.wire.generated.ConfirmResponseStruct;
import org.cuminreach.wire.generated.EntryStruct;
import org.cuminreach.wire.generated.MemberStruct;
import org.cuminreach.wire.generated.MembershipStruct;
import org.cuminreach.wire.generated.PayloadStruct;
import org.cuminreach.wire.generated.SnapshotRequestStruct;
import org.cuminreach.wire.generated.SnapshotStruct;
import org.cuminreach.wire.generated.VoteRequestStruct;
import org.cuminreach.wire.generated.VoteResponseStruct;

/** Converts between Raft messages, log entries and snapshots and their Thrift structs. */
public final class RaftCodec {
    private RaftCodec() {}

    /**
     * Converts a message to its struct.
     *
     * @param message the message
     * @return the struct
     */
    public static AgreementStruct toStruct(Message message) {
        return switch (message) {
            case Message.VoteRequest vote ->
                    AgreementStruct.voteRequest(
                            new VoteRequestStruct(
                                    vote.term(),
                                    vote.lastIndex(),
                                    vote.lastTerm(),
                                    vote.preVote()));
            case Message.VoteResponse vote ->
                    AgreementStruct.voteResponse(
                            new VoteResponseStruct(vote.term(), vote.granted(), vote.preVote()));
            case Message.AppendRequest append ->
                    AgreementStruct.appendRequest(
                            new AppendRequestStruct(
                                    append.term(),
                                    append.previousIndex(),
                                    append.previousTerm(),
                                    toStructs(append.entries()),
                                    append.commitIndex(),
                                    append.round()));
            case Message.AppendResponse append ->
                    AgreementStruct.appendResponse(
                            new AppendResponseStruct(
                                    append.term(),
                                    append.success(),
                                    append.matchIndex(),
                                    append.round()));
            case Message.SnapshotRequest request ->
                    AgreementStruct.snapshotRequest(
                            new SnapshotRequestStruct(
                                    request.term(), toStruct(request.snapshot()), request.round()));
            case Message.ConfirmRequest confirm ->
                    AgreementStruct.confirmRequest(
                            new ConfirmRequestStruct(confirm.term(), confirm.confirmation()));
            case Message.ConfirmResponse confirm ->
                    AgreementStruct.confirmResponse(
                            new ConfirmResponseStruct(
                                    confirm.term(), confirm.confirmation(), confirm.index()));
        };
    }

    /**
     * Converts a struct to its message.
     *
     * @param struct the struct
     * @return the message
     * @throws MalformedFrameException when the type of the message is unknown
     */
    public static Message toMessage(AgreementStruct struct) throws MalformedFrameException {
        if (struct.getSetField() == null) {
            throw new MalformedFrameException("unknown type of Raft message");
        }
        return switch (struct.getSetField()) {
            case VOTE_REQUEST -> {
                VoteRequestStruct vote = struct.getVoteRequest();
                yield new Message.VoteRequest(
                        vote.getTerm(), vote.getLastIndex(), vote.getLastTerm(), vote.isPreVote());
            }
            case VOTE_RESPONSE -> {
                VoteResponseStruct vote = struct.getVoteResponse();
                yield new Message.VoteResponse(vote.getTerm(), vote.isGranted(), vote.isPreVote());
            }
            case APPEND_REQUEST -> {
                AppendRequestStruct append = struct.getAppendRequest();
                yield new Message.AppendRequest(
                        append.getTerm(),
                        append.getPreviousIndex(),
                        append.getPreviousTerm(),
                        toEntries(append.getEntries()),
                        append.getCommitIndex(),
                        append.getRound());
            }
            case APPEND_RESPONSE -> {
                AppendResponseStruct append = struct.getAppendResponse();
                yield new Message.AppendResponse(
                        append.getTerm(),
                        append.isSuccess(),
                        append.getMatchIndex(),
                        append.getRound());
            }
            case SNAPSHOT_REQUEST -> {
                SnapshotRequestStruct request = struct.getSnapshotRequest();
                yield new Message.SnapshotRequest(
                        request.getTerm(), toSnapshot(request.getSnapshot()), request.getRound());
            }
            case CONFIRM_REQUEST ->
                    new Message.ConfirmRequest(
                            struct.getConfirmRequest().getTerm(),
                            struct.getConfirmRequest().getConfirmation());
            case CONFIRM_RESPONSE ->
                    new Message.ConfirmResponse(
                            struct.getConfirmResponse().getTerm(),
                            struct.getConfirmResponse().getConfirmation(),
                            struct.getConfirmResponse().getIndex());
        };
    }

    /**
     * Converts an entry to its struct.
     *
     * @param entry the entry
     * @return the struct
     */
    public static EntryStruct toStruct(LogEntry entry) {
        PayloadStruct payload =
                switch (entry.payload()) {
                    case Payload.Command command ->
                            PayloadStruct.command(ByteBuffer.wrap(command.bytes()));
                    case Payload.MembershipChange change ->
                            PayloadStruct.membership(toStruct(change.membership()));
                    case Payload.NoOp opening -> PayloadStruct.opening(true);
                };
        return new EntryStruct(entry.index(), entry.term(), payload);
    }

    /**
     * Converts a struct to its entry.
     *
     * @param struct the struct
     * @return the entry
     * @throws MalformedFrameException when the type of the payload is unknown
     */
    public static LogEntry toEntry(EntryStruct struct) throws MalformedFrameException {
        if (struct.getPayload().getSetField() == null) {
            throw new MalformedFrameException(
                    "unknown payload type in log entry " + struct.getIndex());
        }
        Payload payload =
                switch (struct.getPayload().getSetField()) {
                    case COMMAND -> new Payload.Command(struct.getPayload().getCommand());
                    case MEMBERSHIP ->
                            new Payload.MembershipChange(
                                    toMembership(struct.getPayload().getMembership()));
                    case OPENING -> new Payload.NoOp();
                };
        return new LogEntry(struct.getIndex(), struct.getTerm(), payload);
    }

    /**
     * Converts a snapshot to its struct.
     *
     * @param snapshot the snapshot
     * @return the struct
     */
    public static SnapshotStruct toStruct(Snapshot snapshot) {
        return new SnapshotStruct(
                snapshot.lastIndex(),
                snapshot.lastTerm(),
                toStruct(snapshot.membership()),
                ByteBuffer.wrap(snapshot.state()));
    }

    /**
     * Converts a struct to its snapshot.
     *
     * @param struct the struct
     * @return the snapshot
     * @throws MalformedFrameException when it contains an invalid address
     */
    public static Snapshot toSnapshot(SnapshotStruct struct) throws MalformedFrameException {
        return new Snapshot(
                struct.getLastIndex(),
                struct.getLastTerm(),
                toMembership(struct.getMembership()),
                struct.getState());
    }

    /**
     * Parses an address that was received from another process.
     *
     * @param text the address as {@code host:port}
     * @return the address
     * @throws MalformedFrameException when the text is not a valid address
     */
    public static Address toAddress(String text) throws MalformedFrameException {
        return Address.parse(text)
                .orElseThrow(() -> new MalformedFrameException("invalid address: " + text));
    }

    private static MembershipStruct toStruct(Membership membership) {
        return new MembershipStruct(
                membership.members().stream()
                        .map(
                                member ->
                                        new MemberStruct(
                                                member.id(),
                                                member.address().toString(),
                                                member.voter()))
                        .toList());
    }

    private static Membership toMembership(MembershipStruct struct) throws MalformedFrameException {
        List<Member> members = new ArrayList<>();
        for (MemberStruct member : struct.getMembers()) {
            members.add(
                    new Member(member.getId(), toAddress(member.getAddress()), member.isVoter()));
        }
        return new Membership(members);
    }

    private static List<EntryStruct> toStructs(List<LogEntry> entries) {
        return entries.stream().map(RaftCodec::toStruct).toList();
    }

    private static List<LogEntry> toEntries(List<EntryStruct> structs)
            throws MalformedFrameException {
        List<LogEntry> entries = new ArrayList<>();
        for (EntryStruct struct : structs) {
            entries.add(toEntry(struct));
        }
        return entries;
    }
}
