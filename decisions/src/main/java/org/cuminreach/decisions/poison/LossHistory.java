package org.cuminreach.decisions.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The targets that a request has lost since its last answer. Losses of one target at about the same
 * time are one, so that a loss that several processes report is counted once. A loss is certain if
 * the node next to the target saw it end; any other may have been a lost connection between nodes.
 * Not thread-safe.
 */
final class LossHistory {
    /** Losses after which a request is refused by the whole mesh. */
    static final int LOSSES_IN_MESH = 3;

    /** Minimum number of different targets lost, unless enough losses are certain. */
    private static final int MIN_LOST_TARGETS = 2;

    /** Time that a target needs at least to start again, in milliseconds. */
    private static final long MIN_RESTART_MILLIS = 500;

    /** Maximum time between the notices of one loss by two nodes, in milliseconds. */
    private static final long MAX_NOTICE_SKEW_MILLIS = 2_000;

    /** Losses that are kept; more of them do not lengthen the refusal. */
    private static final int MAX_LOSSES = 8;

    private record Loss(String target, long atMillis, boolean targetEnded) {
        boolean isSameAs(Loss other) {
            long maxApartMillis =
                    targetEnded == other.targetEnded ? MIN_RESTART_MILLIS : MAX_NOTICE_SKEW_MILLIS;
            return target.equals(other.target)
                    && Math.abs(atMillis - other.atMillis) < maxApartMillis;
        }
    }

    private final List<Loss> losses = new ArrayList<>();

    /** Adds a loss; returns false when it is known already. */
    boolean add(String target, long atMillis, boolean targetEnded) {
        Loss added = new Loss(target, atMillis, targetEnded);
        Optional<Loss> known = losses.stream().filter(added::isSameAs).findFirst();
        if (known.isPresent()) {
            return targetEnded && replaceUncertain(known.get(), added);
        }
        if (losses.size() == MAX_LOSSES) {
            losses.removeFirst();
        }
        losses.add(added);
        return true;
    }

    /** Tells whether there is a loss besides that of a target at a time. */
    boolean hasOther(String target, long atMillis) {
        Loss known = new Loss(target, atMillis, false);
        return losses.stream().anyMatch(loss -> !loss.isSameAs(known));
    }

    private boolean replaceUncertain(Loss known, Loss certain) {
        if (known.targetEnded()) {
            return false;
        }
        losses.removeIf(loss -> !loss.targetEnded() && loss.isSameAs(certain));
        losses.add(certain);
        return true;
    }

    /** Adds reported losses later than a time; returns whether one of them is new. */
    boolean addAll(List<TargetLoss> reported, long afterMillis, long nowMillis) {
        boolean changed = false;
        for (TargetLoss loss : reported) {
            long atMillis = nowMillis - loss.ageMillis();
            changed |= atMillis > afterMillis && add(loss.target(), atMillis, loss.targetEnded());
        }
        return changed;
    }

    /** Removes the losses up to a time; returns whether there were any. */
    boolean removeUntil(long millis) {
        return losses.removeIf(loss -> loss.atMillis() <= millis);
    }

    boolean isEmpty() {
        return losses.isEmpty();
    }

    int size() {
        return losses.size();
    }

    /** Tells whether no process may send the request to a target. */
    boolean showsPoison() {
        long ends = losses.stream().filter(Loss::targetEnded).count();
        return ends >= LOSSES_IN_MESH
                || (losses.size() >= LOSSES_IN_MESH && targets().size() >= MIN_LOST_TARGETS);
    }

    Set<String> targets() {
        return losses.stream().map(Loss::target).collect(Collectors.toUnmodifiableSet());
    }

    long latestMillis() {
        return losses.stream().mapToLong(Loss::atMillis).max().orElse(Long.MIN_VALUE);
    }

    List<TargetLoss> reported(long nowMillis) {
        return losses.stream()
                .map(
                        loss ->
                                new TargetLoss(
                                        loss.target(),
                                        Math.max(0, nowMillis - loss.atMillis()),
                                        loss.targetEnded()))
                .toList();
    }
}
