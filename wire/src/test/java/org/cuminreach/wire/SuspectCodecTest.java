package org.cuminreach.wire;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.decisions.poison.SuspectRegistry;
import org.cuminreach.decisions.poison.SuspectReport;
import org.cuminreach.decisions.poison.TargetLoss;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.SuspectBatch;
import org.cuminreach.wire.generated.SuspectStruct;
import org.cuminreach.wire.generated.TargetLossStruct;

class SuspectCodecTest {
    @Example
    void reportsSurviveEncodingInFramesOfBoundedSize() throws Exception {
        List<SuspectReport> reports = new ArrayList<>();
        for (int number = 0; number < 1_200; number++) {
            reports.add(
                    new SuspectReport.Lost(
                            "request-" + number,
                            List.of(new TargetLoss("node-1", number, number % 2 == 0))));
        }
        reports.add(new SuspectReport.Answered("request-7", 12));

        List<Frame> frames = SuspectCodec.toFrames(reports);
        List<SuspectReport> decoded = new ArrayList<>();
        for (Frame frame : frames) {
            decoded.addAll(SuspectCodec.toReports(frame.getSuspects()));
        }

        assertThat(frames).hasSize(3);
        assertThat(decoded).isEqualTo(reports);
    }

    /** The timer of a control reads its clock before the reports of other threads are merged. */
    @Example
    void answerThatIsLaterThanTheTimeOfTheSenderClosesNoConnection() throws Exception {
        SuspectRegistry registry = SuspectRegistry.empty();
        long timerMillis = 1_000;
        registry.merge(
                new SuspectReport.Lost(
                        "request-1",
                        List.of(
                                new TargetLoss("node-1", 20, false),
                                new TargetLoss("node-2", 10, false))),
                timerMillis);
        registry.merge(new SuspectReport.Answered("request-1", 0), timerMillis + 276);

        assertThat(decoded(registry.changesForNodes(0, timerMillis)))
                .containsExactly(new SuspectReport.Answered("request-1", 0));
        assertThat(decoded(registry.all(timerMillis)))
                .containsExactly(new SuspectReport.Answered("request-1", 0));
    }

    private static List<SuspectReport> decoded(List<SuspectReport> reports)
            throws MalformedFrameException {
        List<SuspectReport> decoded = new ArrayList<>();
        for (Frame frame : SuspectCodec.toFrames(reports)) {
            decoded.addAll(SuspectCodec.toReports(frame.getSuspects()));
        }
        return decoded;
    }

    @Example
    void reportsWithValuesOutOfRangeAreMalformed() {
        List<SuspectStruct> malformed =
                List.of(
                        new SuspectStruct("x"),
                        new SuspectStruct(""),
                        new SuspectStruct("x").setAnsweredAgeMillis(-1),
                        new SuspectStruct("x").setAnsweredAgeMillis(Long.MAX_VALUE),
                        new SuspectStruct("x").setLosses(List.of(new TargetLossStruct("n", -1))),
                        new SuspectStruct("x").setLosses(List.of(new TargetLossStruct("", 1))),
                        new SuspectStruct("x".repeat(300)).setAnsweredAgeMillis(1));
        for (SuspectStruct struct : malformed) {
            assertThat(isMalformed(struct)).isTrue();
        }
    }

    private static boolean isMalformed(SuspectStruct struct) {
        try {
            SuspectCodec.toReports(new SuspectBatch(List.of(struct)));
            return false;
        } catch (MalformedFrameException malformed) {
            return true;
        }
    }
}
