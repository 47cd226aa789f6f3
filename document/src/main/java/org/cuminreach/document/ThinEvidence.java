package org.cuminreach.document;

/** What happens to a rollout whose set time comes before there is evidence enough. */
public enum ThinEvidence {
    /** It is reported late, stays at its share and goes on as evidence comes. */
    WAIT,
    /** It is finished by the set time unless badness has shown, and watched after that. */
    FINISH,
    /** It is taken back. */
    TAKE_BACK
}
