package org.cuminreach.wire;

import java.util.ArrayList;
import java.util.List;
import org.cuminreach.decisions.quota.QuotaAnswer;
import org.cuminreach.decisions.quota.QuotaDemand;
import org.cuminreach.decisions.quota.QuotaPool;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.QuotaDemandStruct;
import org.cuminreach.wire.generated.QuotaGrant;
import org.cuminreach.wire.generated.QuotaGrantStruct;
import org.cuminreach.wire.generated.QuotaRequest;

/** Converts between the decisions on quotas and their Thrift structs. */
public final class QuotaCodec {
    private static final int MAX_CALLS = 1_000_000;

    private QuotaCodec() {}

    /**
     * Converts a question of a node.
     *
     * @param question the question
     * @return the frame
     */
    public static Frame toFrame(QuotaPool.Question question) {
        List<QuotaDemandStruct> demands = new ArrayList<>();
        for (QuotaDemand demand : question.demands()) {
            QuotaDemandStruct struct = new QuotaDemandStruct(demand.tenant(), demand.wanted());
            if (demand.returned() > 0) {
                struct.setReturned(demand.returned()).setDrawnMillis(demand.drawnMillis());
            }
            demands.add(struct);
        }
        return Frame.quotaRequest(new QuotaRequest(question.number(), demands));
    }

    /**
     * Converts the demands of a question.
     *
     * @param request the question
     * @return the demands
     * @throws MalformedFrameException when a count is out of range
     */
    public static List<QuotaDemand> toDemands(QuotaRequest request) throws MalformedFrameException {
        List<QuotaDemand> demands = new ArrayList<>();
        for (QuotaDemandStruct struct : request.getDemands()) {
            demands.add(
                    new QuotaDemand(
                            struct.getTenant(),
                            checked(struct.getWanted()),
                            checked(struct.getReturned()),
                            struct.getDrawnMillis()));
        }
        return demands;
    }

    /**
     * Converts answers to one question.
     *
     * @param question number of the question
     * @param answers the answers
     * @return the frame
     */
    public static Frame toFrame(long question, List<QuotaAnswer> answers) {
        List<QuotaGrantStruct> grants = new ArrayList<>();
        for (QuotaAnswer answer : answers) {
            QuotaGrantStruct struct =
                    new QuotaGrantStruct(answer.tenant(), answer.granted(), answer.validMillis());
            struct.setDrawnMillis(answer.drawnMillis());
            if (answer.refused() > 0) {
                struct.setRefused(answer.refused());
                struct.setRetryAfterMillis(answer.retryAfterMillis());
            }
            grants.add(struct);
        }
        return Frame.quotaGrant(new QuotaGrant(question, grants));
    }

    /**
     * Converts the answers of a control.
     *
     * @param grant the answers
     * @return the answers
     * @throws MalformedFrameException when a count is out of range
     */
    public static List<QuotaAnswer> toAnswers(QuotaGrant grant) throws MalformedFrameException {
        List<QuotaAnswer> answers = new ArrayList<>();
        for (QuotaGrantStruct struct : grant.getGrants()) {
            answers.add(
                    new QuotaAnswer(
                            struct.getTenant(),
                            checked(struct.getGranted()),
                            checked(struct.getRefused()),
                            struct.getDrawnMillis(),
                            struct.getValidMillis(),
                            struct.getRetryAfterMillis()));
        }
        return answers;
    }

    private static int checked(int calls) throws MalformedFrameException {
        if (calls < 0 || calls > MAX_CALLS) {
            throw new MalformedFrameException("a number of calls is out of range: " + calls);
        }
        return calls;
    }
}
