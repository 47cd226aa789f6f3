package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminreach.decisions.admission.ColdLimit;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.membership.TargetWarmth;
import org.cuminreach.decisions.routing.ColdNotice;
import org.cuminreach.document.ColdStart;
import org.cuminreach.document.Service;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.settings.TargetDescription;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps track of whether the target next to the node is cold, where its service has a limit for
 * cold targets. Thread-safe.
 */
public final class ColdTarget {
    private static final Logger LOGGER = LoggerFactory.getLogger(ColdTarget.class);

    private final ColdSettings settings;
    private final TargetWarmth warmth = TargetWarmth.unknown(ProcessClock.monotonicMillis());
    private String instance = "";
    private ColdStart coldStart = ColdStart.none();

    /** Rate that a sender has told before this node got a configuration, or 0. */
    private double hearsayCallsPerSecond;

    private boolean cold;
    private boolean changed;
    private long coldUntilMillis;

    ColdTarget(ColdSettings settings) {
        this.settings = settings;
    }

    /** Records the cold time that the target states, or that it states none. */
    synchronized void record(String start, OptionalLong remainingMillis, long nowMillis) {
        warmth.record(start, remainingMillis, nowMillis);
    }

    /** Adopts what the sender of a call knows. */
    synchronized void adopt(HttpHeaders headers, long nowMillis) {
        String text = headers.get(MeshHeaders.TARGET_COLD);
        if (text == null) {
            return;
        }
        ColdNotice.parse(text)
                .ifPresent(
                        notice -> {
                            warmth.recordHearsay(notice.coldMillis(), nowMillis);
                            hearsayCallsPerSecond = notice.callsPerSecond();
                        });
    }

    /** Presumes the target cold, as it may have started anew since it last told. */
    synchronized void recordUnreachable(long nowMillis) {
        warmth.presumeCold(nowMillis);
    }

    /** Returns the limit in force for the target, or empty when it is warm. */
    synchronized Optional<ColdLimit> limit(TargetDescription current, long nowMillis) {
        MeshConfiguration configuration = settings.configuration().get();
        coldStart = coldStart(configuration, current.service());
        instance = current.instance();
        if (configuration.evacuatedDataCentres().contains(settings.dataCentre())) {
            warmth.presumeCold(nowMillis);
        }
        long remainingMillis =
                coldStart.isLimited()
                        ? warmth.coldMillis(coldStart.durationMillis(), nowMillis)
                        : 0;
        coldUntilMillis = nowMillis + remainingMillis;
        setCold(remainingMillis > 0, remainingMillis);
        return cold
                ? Optional.of(
                        ColdLimit.of(
                                coldStart.callsPerSecond(),
                                settings.bounds().overage(),
                                settings.bounds().slack()))
                : Optional.empty();
    }

    /** Returns the cold start of a service; before the first configuration what senders told. */
    private ColdStart coldStart(MeshConfiguration configuration, String service) {
        return configuration.version() == 0
                ? new ColdStart(0, hearsayCallsPerSecond)
                : configuration
                        .document()
                        .service(service)
                        .map(Service::coldStart)
                        .orElse(ColdStart.none());
    }

    private void setCold(boolean isCold, long remainingMillis) {
        if (isCold == cold) {
            return;
        }
        cold = isCold;
        changed = true;
        LOGGER.info(
                "event={} instance={} remaining_ms={} limit_per_second={} presumed={}",
                isCold ? "target_cold" : "target_warm",
                instance,
                remainingMillis,
                coldStart.callsPerSecond(),
                warmth.isPresumed());
    }

    /** Tells once whether the target has become cold or warm since the last time. */
    synchronized boolean takeChange() {
        boolean taken = changed;
        changed = false;
        return taken;
    }

    /** Tells the sender of a call that the target is cold. */
    synchronized void addTo(HttpAnswer answer, long nowMillis) {
        if (cold) {
            ColdNotice notice = new ColdNotice(coldMillis(nowMillis), coldStart.callsPerSecond());
            answer.setHeader(MeshHeaders.TARGET_COLD, notice.text());
        }
    }

    /**
     * Returns the time for which the target stays cold.
     *
     * @param nowMillis current time
     * @return the time in milliseconds, 0 when it is warm
     */
    public synchronized long coldMillis(long nowMillis) {
        return cold ? Math.max(0, coldUntilMillis - nowMillis) : 0;
    }

    /**
     * Returns the calls per second that the target withstands while it is cold.
     *
     * @return calls per second, 0 when it is warm
     */
    public synchronized double callsPerSecond() {
        return cold ? coldStart.callsPerSecond() : 0;
    }
}
