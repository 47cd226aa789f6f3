package org.cuminreach.control.replica;

import java.util.ArrayList;
import java.util.List;

/** Actions to run after a lock is released, such as completing futures. */
final class Completions {
    private final List<Runnable> actions = new ArrayList<>();

    void add(Runnable action) {
        actions.add(action);
    }

    void run() {
        actions.forEach(Runnable::run);
    }
}
