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
 * Records results of this node's calls to services with a rollout until they are sent to the
 * control, and keeps a circuit breaker for each new version. Bounded in size. Thread-safe: each
 * counter and each version state is used under its own lock.
 */
public final class EvidenceRecorder {
    private static final Logger LOGGER = LoggerFactory.getLogger(EvidenceRecorder.class);
    private static final int MAX_KEYS = 256;
    private static final int MAX_NEW_VERSIONS = 256;

    /** A new version of a service. */
    private record NewVersion(String service, String version) {}

    private final Map<EvidenceKey, CallCounter> counters = new ConcurrentHashMap<>();

    /** Local state of a new version; its monitor guards both components. */
    private record VersionState(
            VersionCircuitBreaker circuitBreaker, RolloutShareLimiter shareLimiter) {
        private static VersionState create() {
            return new VersionState(VersionCircuitBreaker.closed(), RolloutShareLimiter.create());
        }
    }

    private final Map<NewVersion, VersionState> versionStates = new ConcurrentHashMap<>();
    private final AtomicLong drainedMillis = new AtomicLong();

    private EvidenceRecorder() {}

    /**
     * Creates an empty recorder.
     *
     * @return a new recorder
     */
    public static EvidenceRecorder empty() {
        return new EvidenceRecorder();
    }

    /**
     * Records the result of one call.
     *
     * @param key service, version, route and target of the call
     * @param rollout rollout of the service
     * @param result result of the call
     * @param micros duration of the call, in microseconds
     * @param readyTargets number of ready targets of the call's version
     * @param nowMillis current time
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
        NewVersion newVersion = new NewVersion(key.service(), rollout.version());
        if (versionStates.size() >= MAX_NEW_VERSIONS && !versionStates.containsKey(newVersion)) {
            removeClosed(nowMillis);
        }
        boolean ofNewVersion = key.version().equals(rollout.version());
        VersionState state =
                versionStates.computeIfAbsent(newVersion, absent -> VersionState.create());
        synchronized (state) {
            if (result != CallResult.REFUSED) {
                state.shareLimiter().recordCall(ofNewVersion, rollout.sharePerMille());
            }
            if (!ofNewVersion) {
                state.circuitBreaker().recordOldVersionCall(result, micros);
                return;
            }
            if (state.circuitBreaker()
                    .recordNewVersionCall(key.target(), result, micros, readyTargets, nowMillis)) {
                LOGGER.warn(
                        "event=version_circuit_opened service={} version={} route={} result={}"
                                + " reason=local_call_results",
                        key.service(),
                        key.version(),
                        key.route(),
                        result);
            }
        }
    }

    /**
     * Tells whether this node's circuit breaker for a new version is open.
     *
     * @param service name of the service
     * @param version name of the version
     * @param nowMillis current time
     * @return true while the node sends it no calls
     */
    public boolean isCircuitOpen(String service, String version, long nowMillis) {
        VersionState state = versionStates.get(new NewVersion(service, version));
        if (state == null) {
            return false;
        }
        synchronized (state) {
            return state.circuitBreaker().isOpen(nowMillis);
        }
    }

    /**
     * Tells whether a new version has received its share of this node's calls.
     *
     * @param service name of the service
     * @param version name of the version
     * @return true while no further calls may be sent to it
     */
    public boolean isShareExhausted(String service, String version) {
        VersionState state = versionStates.get(new NewVersion(service, version));
        if (state == null) {
            return false;
        }
        synchronized (state) {
            return state.shareLimiter().isExhausted();
        }
    }

    /**
     * Removes and returns all recorded evidence.
     *
     * @param nowMillis current time
     * @return the evidence since the previous drain
     */
    public List<Evidence> drain(long nowMillis) {
        long spanMillis = nowMillis - drainedMillis.getAndSet(nowMillis);
        List<Evidence> drained = new ArrayList<>();
        for (EvidenceKey key : counters.keySet()) {
            CallCounter counter = counters.remove(key);
            if (counter != null) {
                boolean circuitOpen = isCircuitOpen(key.service(), key.version(), nowMillis);
                drained.add(new Evidence(key, counter.counts(), spanMillis, circuitOpen));
            }
        }
        return drained;
    }

    /** Makes room; versions with an open circuit stay, since the next call would reach them. */
    private void removeClosed(long nowMillis) {
        versionStates
                .keySet()
                .removeIf(
                        version -> !isCircuitOpen(version.service(), version.version(), nowMillis));
    }

    private static CallCounter count(CallCounter known, CallResult result, long micros) {
        CallCounter counter = known == null ? CallCounter.zero() : known;
        counter.record(result, micros);
        return counter;
    }
}
