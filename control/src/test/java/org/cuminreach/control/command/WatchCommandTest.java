package org.cuminreach.control.command;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import net.jqwik.api.Example;

class WatchCommandTest {
    @Example
    void describesConvergenceAndRollouts() throws IOException {
        String status =
                """
                {"leader": "control-1", "version": 7,
                 "nodes": [{"node": "a", "version": 7}, {"node": "b", "version": 6}],
                 "rollouts": [{"service": "arkiv", "version": "2", "phase": "MOVING",
                               "sharePerMille": 50}]}
                """;

        assertThat(WatchCommand.describe(new ObjectMapper().readTree(status)))
                .isEqualTo("leader=control-1 configuration=7 nodes=1/2 arkiv=2:MOVING:50");
    }
}
