package org.cuminreach.runtime.http;

import java.util.Optional;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.decisions.admission.TransferPace;

/**
 * How a process uses the link of its VM. All its servers and clients share one value, as they share
 * the link.
 *
 * @param rate rate of the link
 * @param pace pace of long bodies; used under its own lock
 */
public record LinkUse(LinkRate rate, TransferPace pace) {
    /**
     * Returns the use of a link on which no long body is on its way.
     *
     * @param rate its rate
     * @return the use
     */
    public static LinkUse of(LinkRate rate) {
        return new LinkUse(rate, TransferPace.ofLink(rate));
    }

    /**
     * Returns the pace for a body.
     *
     * @param bytes its length
     * @return the pace, or empty when the body is short or the rate is not known
     */
    public Optional<TransferPace> paceFor(long bytes) {
        return rate.isLong(bytes) ? Optional.of(pace) : Optional.empty();
    }
}
