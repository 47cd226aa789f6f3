package org.cuminreach.node.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.CallCounter;
import org.cuminreach.decisions.rollout.CallResult;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.EvidenceKey;
import org.cuminreach.decisions.rollout.RolloutShareLimiter;
import org.cuminreach.decisions.rollout.VersionCircuitBreaker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this node's calls met of services with a rollout, until it is sent to the control, and the
 * node's own guards of their new versions. Bounded. Safe for several threads: each counter and each
 * guard is used under a lock of its own.
 */
public final class EvidenceLog {
    private static final Logger LOGGER = LoggerFactory.getLogger(EvidenceLog.class);
    private static final int MOST_KEYS = 256;
    private static final int MOST_WATCHES = 256;

    /** A new version of a service. */
    private record NewVersion(String service, String version) {}

    private final Map<EvidenceKey, CallCounter> counters = new ConcurrentHashMap<>();

    /** What this node does about a new version; its lock covers both parts. */
    private record Watch(VersionCircuitBreaker guard, RolloutShareLimiter balance) {
        private static Watch begin() {
            return new Watch(VersionCircuitBreaker.closed(), RolloutShareLimiter.create());
        }
    }

    private final Map<NewVersion, Watch> watches = new ConcurrentHashMap<>();
    private final AtomicLong takenMillis = new AtomicLong();

    private EvidenceLog() {}

    /**
     * Returns an empty log.
     *
     * @return a new log
     */
    public static EvidenceLog empty() {
        return new EvidenceLog();
    }

    /**
     * Adds one call.
     *
     * @param key what the call was sent to
     * @param rollout rollout of the service
     * @param result how it ended
     * @param micros time it took, in microseconds
     * @param readyTargets how many targets of the call's version are ready
     * @param nowMillis present time
     */
    public void add(
            EvidenceKey key,
            RolloutProgress rollout,
            CallResult result,
            long micros,
            int readyTargets,
            long nowMillis) {
        if (counters.size() < MOST_KEYS || counters.containsKey(key)) {
            counters.compute(key, (same, counter) -> counted(counter, result, micros));
        }
        NewVersion watched = new NewVersion(key.service(), rollout.version());
        if (watches.size() >= MOST_WATCHES && !watches.containsKey(watched)) {
            watches.clear();
        }
        boolean ofNewVersion = key.version().equals(rollout.version());
        Watch watch = watches.computeIfAbsent(watched, absent -> Watch.begin());
        synchronized (watch) {
            if (result != CallResult.REFUSED) {
                watch.balance().recordCall(ofNewVersion, rollout.sharePerMille());
            }
            if (!ofNewVersion) {
                watch.guard().recordOldVersionCall(result, micros);
                return;
            }
            if (watch.guard()
                    .recordNewVersionCall(key.target(), result, micros, readyTargets, nowMillis)) {
                LOGGER.warn(
                        "event=version_guarded service={} version={} route={} result={}"
                                + " reason=own_evidence",
                        key.service(),
                        key.version(),
                        key.route(),
                        result);
            }
        }
    }

    /**
     * Tells whether this node keeps its calls off a new version.
     *
     * @param service name of the service
     * @param version name of the version
     * @param nowMillis present time
     * @return true while it does
     */
    public boolean isGuarded(String service, String version, long nowMillis) {
        Watch watch = watches.get(new NewVersion(service, version));
        if (watch == null) {
            return false;
        }
        synchronized (watch) {
            return watch.guard().isOpen(nowMillis);
        }
    }

    /**
     * Tells whether a new version has had its share of this node's calls.
     *
     * @param service name of the service
     * @param version name of the version
     * @return true while it is not to be sent more
     */
    public boolean isShareSpent(String service, String version) {
        Watch watch = watches.get(new NewVersion(service, version));
        if (watch == null) {
            return false;
        }
        synchronized (watch) {
            return watch.balance().isExhausted();
        }
    }

    /**
     * Takes everything out.
     *
     * @param nowMillis present time
     * @return the evidence since the last call
     */
    public List<Evidence> take(long nowMillis) {
        long spanMillis = nowMillis - takenMillis.getAndSet(nowMillis);
        List<Evidence> taken = new ArrayList<>();
        for (EvidenceKey key : counters.keySet()) {
            CallCounter counter = counters.remove(key);
            if (counter != null) {
                boolean guarded = isGuarded(key.service(), key.version(), nowMillis);
                taken.add(new Evidence(key, counter.counts(), spanMillis, guarded));
            }
        }
        return taken;
    }

    private static CallCounter counted(CallCounter known, CallResult result, long micros) {
        CallCounter counter = known == null ? CallCounter.zero() : known;
        counter.record(result, micros);
        return counter;
    }
}
