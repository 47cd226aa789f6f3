package org.cuminreach.decisions.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The version that each service runs, as far as its targets' announcements tell. A version stays
 * established while any target of it is ready; a version that appears beside it waits for a
 * rollout. Not safe for use by several threads at once.
 */
public final class EstablishedVersions {
    private final Map<String, String> byService = new HashMap<>();

    private EstablishedVersions() {}

    /**
     * Returns a table that knows no service.
     *
     * @return the table
     */
    public static EstablishedVersions empty() {
        return new EstablishedVersions();
    }

    /**
     * Takes the present announcements. Where the established version has no ready target left, or
     * none is established yet, the version with most ready targets takes its place.
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
                        byService.put(service, mostCommon(versions));
                    }
                });
    }

    /**
     * Finds the version of a service.
     *
     * @param service name of the service
     * @return its established version, or empty when no target of it was ever ready
     */
    public Optional<String> version(String service) {
        return Optional.ofNullable(byService.get(service));
    }

    private static String mostCommon(Map<String, Integer> versions) {
        return versions.entrySet().stream()
                .max(
                        Map.Entry.<String, Integer>comparingByValue()
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }
}
