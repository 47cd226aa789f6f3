package org.cuminreach.decisions.quota;

/**
 * Share of each quota that a control may grant: one of as many as there are controls. The shares of
 * all controls add up to 1 at most, also while the membership changes, without any message for
 * shares:
 *
 * <ul>
 *   <li>a control has a share only for {@link #CONFIRMED_MILLIS} after it asked a majority whether
 *       its membership is current, so none goes by an older membership for longer,
 *   <li>more controls count at once, fewer only after {@link #SETTLE_MILLIS}, and a control that
 *       joined gets its share only after that time.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class QuotaShare {
    /**
     * Time for which a confirmed membership counts, from the question on. It outlasts an election,
     * so that grants go on while the controls have no leader.
     */
    public static final long CONFIRMED_MILLIS = 4_000;

    /** Time after which no control goes by the membership before a change. */
    public static final long SETTLE_MILLIS = CONFIRMED_MILLIS + 1_000;

    private int controls;
    private int previousControls;
    private long shrunkMillis;
    private boolean member;
    private boolean confirmed;
    private long memberSinceMillis;
    private long confirmedMillis;

    private QuotaShare(boolean memberAtStart, long nowMillis) {
        this.member = memberAtStart;
        this.memberSinceMillis = nowMillis - SETTLE_MILLIS;
        this.shrunkMillis = nowMillis - SETTLE_MILLIS;
    }

    /**
     * Returns the share of a control that has not confirmed its membership yet.
     *
     * @param memberAtStart whether the control was a member before this start; its earlier share
     *     has then been counted all along
     * @param nowMillis current time
     * @return no share until the first confirmation
     */
    public static QuotaShare create(boolean memberAtStart, long nowMillis) {
        return new QuotaShare(memberAtStart, nowMillis);
    }

    /**
     * Records that a majority has confirmed the membership.
     *
     * @param askedMillis time at which the question was sent
     * @param members controls of the membership
     * @param isMember whether this control is one of them
     * @param nowMillis current time
     */
    public void recordConfirmed(long askedMillis, int members, boolean isMember, long nowMillis) {
        if (isMember && !member) {
            memberSinceMillis = nowMillis;
        }
        member = isMember;
        if (members < controls) {
            previousControls = Math.max(controlsCounted(nowMillis), controls);
            shrunkMillis = nowMillis;
        }
        controls = members;
        confirmedMillis = confirmed ? Math.max(confirmedMillis, askedMillis) : askedMillis;
        confirmed = true;
    }

    /**
     * Returns the share.
     *
     * @param nowMillis current time
     * @return from 0 to 1
     */
    public double share(long nowMillis) {
        boolean current = confirmed && nowMillis - confirmedMillis <= CONFIRMED_MILLIS;
        boolean settled = nowMillis - memberSinceMillis >= SETTLE_MILLIS;
        return member && current && settled ? 1.0 / controlsCounted(nowMillis) : 0;
    }

    private int controlsCounted(long nowMillis) {
        boolean settled = nowMillis - shrunkMillis >= SETTLE_MILLIS;
        return Math.max(1, settled ? controls : Math.max(controls, previousControls));
    }
}
