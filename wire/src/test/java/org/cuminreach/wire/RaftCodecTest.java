package org.cuminreach.wire;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.agreement.Message;
import org.cuminreach.decisions.agreement.Payload;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.generated.AgreementStruct;

class RaftCodecTest {
    @Property(seed = "42", tries = 200)
    void messagesRoundTrip(@ForAll("messages") Message message) throws MalformedFrameException {
        byte[] bytes = StructCodec.encode(RaftCodec.toStruct(message));

        Message decoded = RaftCodec.toMessage(StructCodec.decode(bytes, new AgreementStruct()));

        assertThat(decoded).isEqualTo(message);
    }

    @Property(seed = "43", tries = 500)
    void corruptedMessagesAreRejectedOrDecoded(
            @ForAll("messages") Message message, @ForAll int position, @ForAll byte value) {
        byte[] bytes = StructCodec.encode(RaftCodec.toStruct(message));
        bytes[Math.floorMod(position, bytes.length)] = value;

        try {
            Message decoded = RaftCodec.toMessage(StructCodec.decode(bytes, new AgreementStruct()));
            assertThat(decoded).isNotNull();
        } catch (MalformedFrameException malformed) {
            assertThat(malformed).hasMessageThat().isNotEmpty();
        }
    }

    @Property(seed = "44", tries = 50)
    void truncatedMessagesAreRejected(@ForAll("messages") Message message) {
        byte[] bytes = StructCodec.encode(RaftCodec.toStruct(message));
        byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);

        assertThat(isRejected(truncated)).isTrue();
    }

    private static boolean isRejected(byte[] bytes) {
        try {
            StructCodec.decode(bytes, new AgreementStruct());
            return false;
        } catch (MalformedFrameException malformed) {
            return true;
        }
    }

    @Provide
    Arbitrary<Message> messages() {
        Arbitrary<Long> numbers = Arbitraries.longs().between(0, Long.MAX_VALUE);
        Arbitrary<Boolean> flags = Arbitraries.of(true, false);
        Membership membership =
                new Membership(List.of(new Member("a", new Address("10.0.0.1", 7_000), true)));
        Arbitrary<Message> voteRequests =
                Combinators.combine(numbers, numbers, numbers, flags).as(Message.VoteRequest::new);
        Arbitrary<Message> appendResponses =
                Combinators.combine(numbers, flags, numbers, numbers)
                        .as(Message.AppendResponse::new);
        Arbitrary<Message> appendRequests =
                Combinators.combine(numbers, numbers, numbers)
                        .as(
                                (term, index, round) ->
                                        new Message.AppendRequest(
                                                term,
                                                index,
                                                term,
                                                List.of(
                                                        new LogEntry(
                                                                index, term, new Payload.NoOp()),
                                                        new LogEntry(
                                                                index,
                                                                term,
                                                                new Payload.MembershipChange(
                                                                        membership))),
                                                index,
                                                round));
        return Arbitraries.oneOf(voteRequests, appendResponses, appendRequests);
    }
}
