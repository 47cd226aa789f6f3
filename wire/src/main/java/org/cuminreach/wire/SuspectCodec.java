package org.cuminreach.wire;

import java.util.ArrayList;
import java.util.List;
import org.cuminreach.decisions.poison.SuspectReport;
import org.cuminreach.decisions.poison.TargetLoss;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.SuspectBatch;
import org.cuminreach.wire.generated.SuspectStruct;
import org.cuminreach.wire.generated.TargetLossStruct;

/** Converts between reports of suspected requests and their Thrift structs. */
public final class SuspectCodec {
    /** Maximum number of reports of a frame; the longest are less than a kilobyte. */
    public static final int MAX_REPORTS = 500;

    private static final int MAX_LOSSES = 64;
    private static final int MAX_TEXT_LENGTH = 256;
    private static final long MAX_AGE_MILLIS = 86_400_000;

    private SuspectCodec() {}

    /**
     * Converts reports.
     *
     * @param reports the reports, in order
     * @return frames of bounded size, empty without reports
     */
    public static List<Frame> toFrames(List<SuspectReport> reports) {
        List<Frame> frames = new ArrayList<>();
        for (int first = 0; first < reports.size(); first += MAX_REPORTS) {
            int end = Math.min(reports.size(), first + MAX_REPORTS);
            frames.add(
                    Frame.suspects(
                            new SuspectBatch(
                                    reports.subList(first, end).stream()
                                            .map(SuspectCodec::toStruct)
                                            .toList())));
        }
        return frames;
    }

    /**
     * Converts a batch.
     *
     * @param batch the batch
     * @return its reports
     * @throws MalformedFrameException when a report is neither of losses nor of an answer, or a
     *     value is out of range
     */
    public static List<SuspectReport> toReports(SuspectBatch batch) throws MalformedFrameException {
        List<SuspectReport> reports = new ArrayList<>();
        for (SuspectStruct struct : batch.getSuspects()) {
            reports.add(toReport(struct));
        }
        return reports;
    }

    private static SuspectStruct toStruct(SuspectReport report) {
        SuspectStruct struct = new SuspectStruct(report.fingerprint());
        return switch (report) {
            case SuspectReport.Lost lost ->
                    struct.setLosses(lost.losses().stream().map(SuspectCodec::toStruct).toList());
            case SuspectReport.Answered answered ->
                    struct.setAnsweredAgeMillis(answered.ageMillis());
        };
    }

    private static TargetLossStruct toStruct(TargetLoss loss) {
        TargetLossStruct struct = new TargetLossStruct(loss.target(), loss.ageMillis());
        return loss.targetEnded() ? struct.setTargetEnded(true) : struct;
    }

    private static SuspectReport toReport(SuspectStruct struct) throws MalformedFrameException {
        String fingerprint = checkedText(struct.getFingerprint());
        if (struct.isSetAnsweredAgeMillis()) {
            return new SuspectReport.Answered(
                    fingerprint, checkedAge(struct.getAnsweredAgeMillis()));
        }
        if (!struct.isSetLosses() || struct.getLosses().size() > MAX_LOSSES) {
            throw new MalformedFrameException("a suspected request has no or too many losses");
        }
        List<TargetLoss> losses = new ArrayList<>();
        for (TargetLossStruct loss : struct.getLosses()) {
            losses.add(
                    new TargetLoss(
                            checkedText(loss.getTarget()),
                            checkedAge(loss.getAgeMillis()),
                            loss.isTargetEnded()));
        }
        return new SuspectReport.Lost(fingerprint, losses);
    }

    private static String checkedText(String text) throws MalformedFrameException {
        if (text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
            throw new MalformedFrameException(
                    "a name or fingerprint has a length of " + text.length());
        }
        return text;
    }

    private static long checkedAge(long millis) throws MalformedFrameException {
        if (millis < 0 || millis > MAX_AGE_MILLIS) {
            throw new MalformedFrameException("an age is out of range: " + millis + " ms");
        }
        return millis;
    }
}
