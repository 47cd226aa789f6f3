package org.cuminreach.decisions.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The changes of a list whose items have unique names.
 *
 * @param <T> type of the items
 * @param put items that are new or changed
 * @param removed names of removed items
 */
public record KeyedChanges<T>(List<T> put, List<String> removed) {
    /** Makes defensive copies of the lists. */
    public KeyedChanges {
        put = List.copyOf(put);
        removed = List.copyOf(removed);
    }

    /**
     * Finds the names whose items differ between two lists.
     *
     * @param <T> type of the items
     * @param before the earlier list
     * @param after the later list
     * @param name function that returns an item's name
     * @return names of items that were added, changed or removed
     */
    public static <T> Set<String> changedNames(
            List<T> before, List<T> after, Function<T, String> name) {
        Map<String, T> earlier = byName(before, name);
        Set<String> changed = new HashSet<>();
        for (T item : after) {
            T previous = earlier.remove(name.apply(item));
            if (!item.equals(previous)) {
                changed.add(name.apply(item));
            }
        }
        changed.addAll(earlier.keySet());
        return changed;
    }

    /**
     * Creates the changes for a set of names from the current items.
     *
     * @param <T> type of the items
     * @param names names that may have changed
     * @param after the later list
     * @param name function that returns an item's name
     * @return the items with these names, and as removed the names without an item
     */
    public static <T> KeyedChanges<T> of(
            Collection<String> names, List<T> after, Function<T, String> name) {
        List<T> put = new ArrayList<>();
        Set<String> missing = new HashSet<>(names);
        for (T item : after) {
            if (missing.remove(name.apply(item))) {
                put.add(item);
            }
        }
        return new KeyedChanges<>(put, missing.stream().sorted().toList());
    }

    /**
     * Applies the changes.
     *
     * @param before the earlier list
     * @param name function that returns an item's name
     * @return the later list, with new items at the end
     */
    public List<T> applyTo(List<T> before, Function<T, String> name) {
        Map<String, T> items = byName(before, name);
        removed.forEach(items::remove);
        put.forEach(item -> items.put(name.apply(item), item));
        return List.copyOf(items.values());
    }

    private static <T> Map<String, T> byName(List<T> items, Function<T, String> name) {
        Map<String, T> byName = new LinkedHashMap<>();
        items.forEach(item -> byName.put(name.apply(item), item));
        return byName;
    }
}
