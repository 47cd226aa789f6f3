package org.cuminreach.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class BodyMemoryTest {
    private static final int CAPACITY_BYTES = 1_000_000;
    private static final int PART_BYTES = 1_000;

    @Property(seed = "4501", tries = 100)
    void endlessBodiesLeaveMemoryForShortOne(@ForAll @IntRange(min = 1, max = 60) int endless) {
        BodyMemory memory = BodyMemory.of(CAPACITY_BYTES);
        List<BodyMemory.Share> shares =
                IntStream.range(0, endless).mapToObj(number -> memory.newShare()).toList();
        while (shares.stream().filter(share -> share.tryGrow(PART_BYTES)).count() > 0) {
            assertThat(memory.usedBytes()).isLessThan(CAPACITY_BYTES);
        }

        assertThat(memory.newShare().tryGrow(PART_BYTES)).isTrue();
    }

    @Example
    void releasedMemoryIsAvailableAgain() {
        BodyMemory memory = BodyMemory.of(CAPACITY_BYTES);
        BodyMemory.Share first = memory.newShare();
        assertThat(first.tryGrow(CAPACITY_BYTES / 3)).isTrue();
        assertThat(memory.newShare().tryGrow(CAPACITY_BYTES / 2)).isFalse();

        first.release();
        first.release();

        assertThat(memory.usedBytes()).isEqualTo(0);
        assertThat(memory.newShare().tryGrow(CAPACITY_BYTES / 3)).isTrue();
    }
}
