package org.cuminreach.trial.rollout;

/** The behaviour of a new version, or a disturbance during its rollout. */
enum VersionKind {
    GOOD(true),
    GOOD_COLD(true),
    GOOD_ONE_BAD_TARGET(true),
    GOOD_DATA_CENTRE_LOST(true),
    GOOD_POISONOUS_REQUEST(true),
    GOOD_STALLS(true),
    FAILS_AT_ONCE(false),
    SLOW_AT_ONCE(false),
    FAILS_LATER(false),
    SLOW_LATER(false),
    FAILS_UNDER_LOAD(false),
    FAILS_ON_ONE_ROUTE(false),
    SLOW_ON_ONE_ROUTE(false);

    private final boolean good;

    VersionKind(boolean good) {
        this.good = good;
    }

    boolean isGood() {
        return good;
    }
}
