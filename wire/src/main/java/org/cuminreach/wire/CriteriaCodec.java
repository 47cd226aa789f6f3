package org.cuminreach.wire;

import org.cuminreach.document.RolloutCriteria;
import org.cuminreach.document.ThinEvidence;
import org.cuminreach.wire.generated.CriteriaStruct;

/** Converts between the criteria of a rollout and their Thrift struct. */
final class CriteriaCodec {
    private CriteriaCodec() {}

    static CriteriaStruct toStruct(RolloutCriteria criteria) {
        return new CriteriaStruct(
                criteria.falseAlarmPerMille(),
                criteria.missPerMille(),
                criteria.failureDifferencePerMille(),
                criteria.slownessPercent(),
                criteria.watchSeconds(),
                criteria.thinEvidence().ordinal());
    }

    static RolloutCriteria toCriteria(CriteriaStruct struct) throws MalformedFrameException {
        ThinEvidence[] choices = ThinEvidence.values();
        boolean valid =
                struct != null
                        && struct.getThinEvidence() >= 0
                        && struct.getThinEvidence() < choices.length;
        if (!valid) {
            throw new MalformedFrameException("missing or invalid rollout criteria: " + struct);
        }
        return new RolloutCriteria(
                struct.getFalseAlarmPerMille(),
                struct.getMissPerMille(),
                struct.getFailureDifferencePerMille(),
                struct.getSlownessPercent(),
                struct.getWatchSeconds(),
                choices[struct.getThinEvidence()]);
    }
}
