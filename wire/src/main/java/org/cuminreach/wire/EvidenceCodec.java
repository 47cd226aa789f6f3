package org.cuminreach.wire;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import org.cuminreach.decisions.rollout.CallCounts;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.EvidenceKey;
import org.cuminreach.decisions.rollout.LatencyBuckets;
import org.cuminreach.wire.generated.EvidenceBatch;
import org.cuminreach.wire.generated.EvidenceStruct;
import org.cuminreach.wire.generated.Frame;

/**
 * Converts between rollout evidence and its Thrift structs. Latency histograms are sent without
 * their leading and trailing empty buckets.
 */
public final class EvidenceCodec {
    private EvidenceCodec() {}

    /**
     * Converts evidence to a frame.
     *
     * @param evidence the evidence
     * @return the frame
     */
    public static Frame toFrame(Collection<Evidence> evidence) {
        return Frame.evidence(
                new EvidenceBatch(evidence.stream().map(EvidenceCodec::toStruct).toList()));
    }

    /**
     * Converts a batch to its evidence.
     *
     * @param batch the batch
     * @return the evidence
     * @throws MalformedFrameException when counts in it are inconsistent or out of range
     */
    public static List<Evidence> toEvidence(EvidenceBatch batch) throws MalformedFrameException {
        List<Evidence> evidence = new ArrayList<>();
        for (EvidenceStruct struct : batch.getEvidence()) {
            evidence.add(toEvidence(struct));
        }
        return evidence;
    }

    private static EvidenceStruct toStruct(Evidence evidence) {
        EvidenceKey key = evidence.key();
        CallCounts counts = evidence.counts();
        EvidenceStruct struct =
                new EvidenceStruct(
                        key.service(),
                        key.version(),
                        key.route(),
                        counts.answered(),
                        counts.failures(),
                        counts.totalMicros());
        struct.setTarget(key.target());
        struct.setDataCentre(key.dataCentre());
        struct.setSpanMillis(evidence.spanMillis());
        setPositiveCounts(counts, struct);
        setLatencies(counts.latencies(), struct);
        if (evidence.circuitOpen()) {
            struct.setGuarded(true);
        }
        return struct;
    }

    private static void setPositiveCounts(CallCounts counts, EvidenceStruct struct) {
        if (counts.losses() > 0) {
            struct.setLosses(counts.losses());
        }
        if (counts.timeouts() > 0) {
            struct.setTimeouts(counts.timeouts());
        }
        if (counts.refusals() > 0) {
            struct.setRefusals(counts.refusals());
        }
    }

    private static void setLatencies(List<Long> latencies, EvidenceStruct struct) {
        int first = 0;
        int end = latencies.size();
        while (first < end && latencies.get(first) == 0) {
            first++;
        }
        while (end > first && latencies.get(end - 1) == 0) {
            end--;
        }
        if (first < end) {
            struct.setFirstLatencyBucket(first);
            struct.setLatencyCounts(latencies.subList(first, end));
        }
    }

    private static Evidence toEvidence(EvidenceStruct struct) throws MalformedFrameException {
        CallCounts counts =
                new CallCounts(
                        struct.getCalls(),
                        struct.getFailures(),
                        struct.getLosses(),
                        struct.getTimeouts(),
                        struct.getRefusals(),
                        struct.getTotalMicros(),
                        toLatencies(struct));
        boolean valid =
                counts.answered() >= counts.failures()
                        && counts.failures() >= 0
                        && counts.losses() >= 0
                        && counts.timeouts() >= 0
                        && counts.refusals() >= 0
                        && counts.latencies().stream().allMatch(count -> count >= 0);
        if (!valid) {
            throw new MalformedFrameException("inconsistent counts in evidence: " + struct);
        }
        EvidenceKey key =
                new EvidenceKey(
                        struct.getServiceName(),
                        struct.getVersion(),
                        struct.getRoute(),
                        struct.isSetTarget() ? struct.getTarget() : "",
                        struct.isSetDataCentre() ? struct.getDataCentre() : "");
        return new Evidence(key, counts, struct.getSpanMillis(), struct.isGuarded());
    }

    private static List<Long> toLatencies(EvidenceStruct struct) throws MalformedFrameException {
        if (!struct.isSetLatencyCounts()) {
            return List.of();
        }
        int first = struct.getFirstLatencyBucket();
        List<Long> counts = struct.getLatencyCounts();
        if (first < 0 || first > LatencyBuckets.COUNT - counts.size()) {
            throw new MalformedFrameException("latency buckets out of range: " + struct);
        }
        List<Long> latencies = new ArrayList<>(Collections.nCopies(LatencyBuckets.COUNT, 0L));
        for (int index = 0; index < counts.size(); index++) {
            latencies.set(first + index, counts.get(index));
        }
        return latencies;
    }
}
