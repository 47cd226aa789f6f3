package org.cuminreach.node.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import net.jqwik.api.Example;

class MeshHeadersTest {
    private static HttpHeaders received() {
        return new DefaultHttpHeaders()
                .add("Host", "river.example")
                .add("CONNECTION", "X-Hop")
                .add("connection", "keep-alive")
                .add("x-hop", "1")
                .add("Keep-Alive", "timeout=10")
                .add("Transfer-Encoding", "chunked")
                .add("Content-Length", "3")
                .add("EXPECT", "100-continue")
                .add("Accept", "text/plain")
                .add("accept", "text/html")
                .add(MeshHeaders.TARGET_NODE, "node-1")
                .add(MeshHeaders.OUTCOME, "answered")
                .add(MeshHeaders.REASON, "forged");
    }

    @Example
    void hopByHopHeadersAndThoseNamedInConnectionAreNeverForwarded() {
        HttpHeaders copy = MeshHeaders.endToEnd(received());

        assertThat(copy.names())
                .containsExactly(
                        "Host",
                        "Accept",
                        "accept",
                        MeshHeaders.TARGET_NODE,
                        MeshHeaders.OUTCOME,
                        MeshHeaders.REASON);
        assertThat(copy.getAll("Accept")).isEqualTo(List.of("text/plain", "text/html"));
    }

    @Example
    void headersOfOneAttemptAreNotChangedByAnother() {
        HttpHeaders call = received();

        MeshHeaders.endToEnd(call).set("Host", "other").remove("Accept");
        MeshHeaders.forTarget(call).set(MeshHeaders.REASON, "other");

        assertThat(call).isEqualTo(received());
        assertThat(MeshHeaders.endToEnd(call).get("Host")).isEqualTo("river.example");
    }

    @Example
    void targetCannotForgeHeadersOfNodes() {
        HttpHeaders copy = MeshHeaders.fromTarget(received());

        assertThat(copy.contains(MeshHeaders.OUTCOME)).isFalse();
        assertThat(copy.contains(MeshHeaders.REASON)).isFalse();
    }

    @Example
    void headersForNodeBesideTargetDoNotReachTarget() {
        assertThat(MeshHeaders.forTarget(received()).contains(MeshHeaders.TARGET_NODE)).isFalse();
    }

    /** Names of targets come from outside. */
    @Example
    void valueWithLineBreakCannotBeSetOnCopy() {
        HttpHeaders copy = MeshHeaders.endToEnd(received());

        boolean refused = false;
        try {
            copy.set(MeshHeaders.TARGET_START, "i-1\r\nX-Forged: 1");
        } catch (IllegalArgumentException invalidHeader) {
            refused = true;
        }
        assertThat(refused).isTrue();
    }
}
