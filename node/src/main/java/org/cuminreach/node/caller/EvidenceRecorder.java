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
import org.cuminreach.decisions.rollout.ExposureBalance;
import org.cuminreach.decisions.rollout.VersionGuard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this node's calls met of services with a rollout, until it is sent to the control, and the
 * node's own guards of their new versions. Bounded. Safe for several threads: each counter and each
 * guard is used under a lock of its own.
 */
public final class EvidenceRecorder {
    private static final Logger LOGGER = LoggerFactory.getLogger(EvidenceRecorder.class);
    private static final int MAX_KEYS = 256;
    private static final int MAX_NEW_VERSIONS = 256;

    /** A new version of a service. */
    private record NewVersion(String service, String version) {}

    private final Map<EvidenceKey, CallCounter> counters = new ConcurrentHashMap<>();

    /** What this node does about a new version; its lock covers both parts. */
    private record VersionState(VersionGuard circuitBreaker, ExposureBalance balance) {
        private static VersionState create() {
            return new VersionState(VersionGuard.open(), ExposureBalance.fresh());
        }
    }

    private final Map<NewVersion, VersionState> versionStates = new ConcurrentHashMap<>();
    private final AtomicLong drainedMillis = new AtomicLong();

    private EvidenceRecorder() {}

    /**
     * Returns an empty log.
     *
     * @return a new log
     */
    public static EvidenceRecorder empty() {
        return new EvidenceRecorder();
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
    public void record(
            EvidenceKey key,
            RolloutProgress rollout,
            CallResult result,
            long micros,
            int readyTargets,
            long nowMillis) {
        if (counters.size() < MAX_KEYS || counters.containsKey(key)) {
            counters.compute(key, (same, counter) -> count(counter, result, micros));
        }
        NewVersion watched = new NewVersion(key.service(), rollout.version());
        if (versionStates.size() >= MAX_NEW_VERSIONS && !versionStates.containsKey(watched)) {
            versionStates.clear();
        }
        boolean ofNewVersion = key.version().equals(rollout.version());
        VersionState watch =
                versionStates.computeIfAbsent(watched, absent -> VersionState.create());
        synchronized (watch) {
            if (result != CallResult.REFUSED) {
                watch.balance().reached(ofNewVersion, rollout.sharePerMille());
            }
            if (!ofNewVersion) {
                watch.circuitBreaker().noteOld(result, micros);
                return;
            }
            if (watch.circuitBreaker()
                    .noteNew(key.target(), result, micros, readyTargets, nowMillis)) {
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
    public boolean isCircuitOpen(String service, String version, long nowMillis) {
        VersionState watch = versionStates.get(new NewVersion(service, version));
        if (watch == null) {
            return false;
        }
        synchronized (watch) {
            return watch.circuitBreaker().isGuarding(nowMillis);
        }
    }

    /**
     * Tells whether a new version has had its share of this node's calls.
     *
     * @param service name of the service
     * @param version name of the version
     * @return true while it is not to be sent more
     */
    public boolean isShareExhausted(String service, String version) {
        VersionState watch = versionStates.get(new NewVersion(service, version));
        if (watch == null) {
            return false;
        }
        synchronized (watch) {
            return watch.balance().isSpent();
        }
    }

    /**
     * Takes everything out.
     *
     * @param nowMillis present time
     * @return the evidence since the last call
     */
    public List<Evidence> drain(long nowMillis) {
        long spanMillis = nowMillis - drainedMillis.getAndSet(nowMillis);
        List<Evidence> taken = new ArrayList<>();
        for (EvidenceKey key : counters.keySet()) {
            CallCounter counter = counters.remove(key);
            if (counter != null) {
                boolean guarded = isCircuitOpen(key.service(), key.version(), nowMillis);
                taken.add(new Evidence(key, counter.counts(), spanMillis, guarded));
            }
        }
        return taken;
    }

    private static CallCounter count(CallCounter known, CallResult result, long micros) {
        CallCounter counter = known == null ? CallCounter.zero() : known;
        counter.note(result, micros);
        return counter;
    }
}
