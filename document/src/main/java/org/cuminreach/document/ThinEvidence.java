package org.cuminreach.document;

/** Handling of a rollout whose deadline passes before there is enough evidence. */
public enum ThinEvidence {
    /** It is reported as late, keeps its share and continues as evidence arrives. */
    WAIT,
    /** It is completed by the deadline unless a regression was detected, then monitored. */
    FINISH,
    /** It is rolled back. */
    TAKE_BACK
}
