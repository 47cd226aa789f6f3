package org.cuminreach.decisions.tenant;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Tenant;

class KeyCheckTest {
    private static final Freshness OLD = new Freshness(true, false);
    private static final Freshness WITHOUT_LEASE = new Freshness(false, false);

    private final Tenant huon = TenantSamples.tenant("huon", 0, "k-1");
    private final ApiKeyTable keys = ApiKeyTable.of(TenantSamples.documentOf(huon));

    @Example
    void knownKeyPassesWithItsTenant() {
        assertThat(KeyCheck.of(keys, false, Optional.of("k-1"), Freshness.certain()))
                .isEqualTo(new KeyCheck.Passed(Optional.of(huon)));
        assertThat(KeyCheck.of(keys, true, Optional.of("k-1"), Freshness.certain()))
                .isEqualTo(new KeyCheck.Passed(Optional.of(huon)));
        assertThat(KeyCheck.of(keys, false, Optional.of("k-1"), OLD))
                .isEqualTo(new KeyCheck.Passed(Optional.of(huon)));
    }

    @Example
    void unknownOrMissingKeyIsRefusedWhereTheConfigurationIsCurrent() {
        assertThat(KeyCheck.of(keys, false, Optional.of("k-2"), Freshness.certain()))
                .isEqualTo(new KeyCheck.UnknownKey());
        assertThat(KeyCheck.of(keys, false, Optional.empty(), Freshness.certain()))
                .isEqualTo(new KeyCheck.UnknownKey());
    }

    @Example
    void unknownKeyIsNotJudgedByAnOldConfiguration() {
        assertThat(KeyCheck.of(keys, false, Optional.of("k-2"), OLD))
                .isEqualTo(new KeyCheck.Unproven());
    }

    @Example
    void nodeWithoutLeasePassesPublicRoutesOnly() {
        assertThat(KeyCheck.of(keys, false, Optional.of("k-1"), WITHOUT_LEASE))
                .isEqualTo(new KeyCheck.Unproven());
        assertThat(KeyCheck.of(keys, true, Optional.of("k-1"), WITHOUT_LEASE))
                .isEqualTo(new KeyCheck.Passed(Optional.empty()));
        assertThat(KeyCheck.of(keys, true, Optional.empty(), WITHOUT_LEASE))
                .isEqualTo(new KeyCheck.Passed(Optional.empty()));
    }

    @Example
    void withoutTenantsNoKeyIsNeeded() {
        ApiKeyTable none = ApiKeyTable.of(MeshDocument.empty());

        assertThat(KeyCheck.of(none, false, Optional.of("k-9"), WITHOUT_LEASE))
                .isEqualTo(new KeyCheck.Passed(Optional.empty()));
    }
}
