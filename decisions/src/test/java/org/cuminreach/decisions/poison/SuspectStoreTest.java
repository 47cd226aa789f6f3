package org.cuminreach.decisions.poison;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

class SuspectStoreTest {
    private static final int RECORDS = 1_000;
    private final SuspectStore<Integer> store = new SuspectStore<>(RECORDS);
    private int looks;

    private boolean look(boolean expired) {
        looks++;
        return expired;
    }

    @Example
    void manyReportsDoNotLookThroughAllRecordsOneByOne() {
        for (int i = 0; i < RECORDS; i++) {
            store.removeExpired(known -> look(false), i / 10);
            store.put("request-" + i, i, i % 2 == 0);
        }

        assertThat(looks).isAtMost(RECORDS);
    }

    @Example
    void expiredRecordIsRemovedWithinInterval() {
        store.put("request", 1, false);
        store.removeExpired(known -> look(false), 0);
        store.removeExpired(known -> look(true), SuspectStore.EXPIRY_INTERVAL_MILLIS);

        assertThat(store.isEmpty()).isTrue();
    }
}
