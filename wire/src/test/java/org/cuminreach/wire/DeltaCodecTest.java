package org.cuminreach.wire;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.decisions.configuration.ConfigurationDelta;
import org.cuminreach.decisions.configuration.KeyedChanges;
import org.cuminreach.document.ApiKey;
import org.cuminreach.document.CallerLimits;
import org.cuminreach.document.ColdStart;
import org.cuminreach.document.Idempotence;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.RouteAccess;
import org.cuminreach.document.Service;
import org.cuminreach.document.TargetAccess;
import org.cuminreach.document.Tenant;
import org.cuminreach.document.WeightedService;
import org.cuminreach.wire.generated.ConfigurationDeltaStruct;

class DeltaCodecTest {
    private static final List<WeightedService> DESTINATIONS =
            List.of(new WeightedService("one", 90), new WeightedService("two", 10));

    private static Route route(String name, String kind) {
        return new Route(
                name,
                "a.example",
                "/" + name,
                DESTINATIONS,
                900,
                Idempotence.NEVER,
                2,
                400,
                1,
                kind,
                RouteAccess.unrestricted());
    }

    private static Route openRoute() {
        return new Route(
                "open",
                "host",
                "/open/",
                DESTINATIONS,
                900,
                Idempotence.ALWAYS,
                2,
                400,
                1,
                "download",
                new RouteAccess(true, List.of("south")));
    }

    /**
     * Guards against a field that is lost in conversion: nodes check the digest of the decoded
     * configuration, so that a lost field stops distribution.
     */
    @Example
    void routesRoundTrip() throws MalformedFrameException {
        ConfigurationDelta delta =
                new ConfigurationDelta(
                        3,
                        4,
                        2,
                        RolloutPriority.SAFETY,
                        new KeyedChanges<>(
                                List.of(
                                        new Service(
                                                "cold",
                                                Optional.empty(),
                                                Optional.empty(),
                                                TargetAccess.defaults(),
                                                new ColdStart(3_000, 9.1))),
                                List.of("gone")),
                        new KeyedChanges<>(
                                List.of(route("plain", ""), route("named", "upload"), openRoute()),
                                List.of()),
                        new KeyedChanges<>(List.of(), List.of()),
                        77,
                        12,
                        CallerLimits.defaults(),
                        new KeyedChanges<>(
                                List.of(
                                        new Tenant(
                                                "council",
                                                List.of(ApiKey.ofText("key")),
                                                1,
                                                7.5,
                                                3,
                                                List.of("south"))),
                                List.of("left")),
                        List.of("east"));

        byte[] bytes = StructCodec.encode(DeltaCodec.toStruct(delta));

        assertThat(DeltaCodec.toDelta(StructCodec.decode(bytes, new ConfigurationDeltaStruct())))
                .isEqualTo(delta);
    }
}
