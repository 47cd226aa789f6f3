package org.cuminreach.decisions.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The established version of each service, derived from the announcements of its targets. A version
 * stays established while any target of it is ready; a new version receives calls only through a
 * rollout, also where none is established yet. Not thread-safe.
 */
public final class EstablishedVersions {
    private final Map<String, String> byService = new HashMap<>();
    private final Map<String, String> replacedByService = new HashMap<>();
    private final Map<String, Map<String, Integer>> readyByService = new HashMap<>();

    private EstablishedVersions() {}

    /**
     * Returns a table without services.
     *
     * @return an empty table
     */
    public static EstablishedVersions empty() {
        return new EstablishedVersions();
    }

    /**
     * Updates the table from the current announcements. Where no version is established yet, or the
     * established one has no ready target left, the version with the most ready targets replaces
     * it.
     *
     * @param announced the latest announcement of each target
     */
    public void update(Collection<Announcement> announced) {
        Map<String, Map<String, Integer>> ready = new HashMap<>();
        for (Announcement announcement : announced) {
            if (announcement.phase() == TargetPhase.READY) {
                ready.computeIfAbsent(announcement.service(), service -> new HashMap<>())
                        .merge(announcement.version(), 1, Integer::sum);
            }
        }
        ready.forEach(
                (service, versions) -> {
                    String established = byService.get(service);
                    if (established == null || !versions.containsKey(established)) {
                        replaceEstablished(service, mostCommon(versions).orElseThrow());
                    }
                });
        readyByService.clear();
        readyByService.putAll(ready);
    }

    private void replaceEstablished(String service, String version) {
        String replaced = byService.put(service, version);
        if (replaced != null) {
            replacedByService.put(service, replaced);
        }
    }

    /**
     * Returns the established version of a service.
     *
     * @param service name of the service
     * @param rolledOut version that a rollout of the service moves its calls to, if there is one;
     *     returned only if no other version is known
     * @return the version, or empty when no target of the service was ever ready
     */
    public Optional<String> version(String service, Optional<String> rolledOut) {
        Optional<String> established = Optional.ofNullable(byService.get(service));
        if (rolledOut.isEmpty()) {
            return established;
        }
        String excluded = rolledOut.get();
        Map<String, Integer> others = new HashMap<>(readyByService.getOrDefault(service, Map.of()));
        others.remove(excluded);
        return established
                .filter(version -> !version.equals(excluded))
                .or(() -> mostCommon(others))
                .or(() -> Optional.ofNullable(replacedByService.get(service)))
                .or(() -> established);
    }

    private static Optional<String> mostCommon(Map<String, Integer> versions) {
        return versions.entrySet().stream()
                .max(
                        Map.Entry.<String, Integer>comparingByValue()
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }
}
