package org.cuminreach.decisions.tenant;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Tenant;

class ApiKeyTableTest {
    private static final int TENANTS = 10_000;
    private static final int KEYS_PER_TENANT = 5;
    private static final int LOOKUPS = 50_000;

    /** Upper bound for one lookup; a scan of all keys takes several times as long. */
    private static final long MAX_LOOKUP_NANOS = 100_000;

    /** Upper bound for the memory that one key takes in the table beside its digest, in bytes. */
    private static final long MAX_BYTES_PER_KEY = 128;

    @Example
    void eachKeyBelongsToItsTenant() {
        ApiKeyTable table =
                ApiKeyTable.of(
                        TenantSamples.documentOf(
                                TenantSamples.tenant("huon", 0, "k-1", "k-2"),
                                TenantSamples.tenant("esk", 0, "k-3")));

        assertThat(table.requiresKeys()).isTrue();
        assertThat(table.tenantOfKey("k-2").map(Tenant::name)).isEqualTo(Optional.of("huon"));
        assertThat(table.tenantOfKey("k-3").map(Tenant::name)).isEqualTo(Optional.of("esk"));
        assertThat(table.tenantOfKey("k-4")).isEqualTo(Optional.empty());
        assertThat(table.tenantOfKey("")).isEqualTo(Optional.empty());
        assertThat(table.tenant("esk").map(Tenant::name)).isEqualTo(Optional.of("esk"));
        assertThat(table.tenant("tamar")).isEqualTo(Optional.empty());
    }

    @Example
    void documentWithoutTenantsNeedsNoKeys() {
        ApiKeyTable table = ApiKeyTable.of(MeshDocument.empty());

        assertThat(table.requiresKeys()).isFalse();
        assertThat(table.tenantOfKey("k-1")).isEqualTo(Optional.empty());
    }

    @Example
    void manyKeysAreFoundInBoundedTimeAndMemory() {
        List<Tenant> tenants = new ArrayList<>();
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            String[] keys = new String[KEYS_PER_TENANT];
            for (int key = 0; key < KEYS_PER_TENANT; key++) {
                keys[key] = "key-" + tenant + "-" + key;
            }
            tenants.add(TenantSamples.tenant("tenant-" + tenant, 0, keys));
        }
        MeshDocument document = TenantSamples.document(List.of(), tenants);
        long before = usedBytes();
        ApiKeyTable table = ApiKeyTable.of(document);
        long bytes = usedBytes() - before;

        int found = 0;
        long startNanos = System.nanoTime();
        for (int lookup = 0; lookup < LOOKUPS; lookup++) {
            int tenant = lookup % TENANTS;
            String key = "key-" + tenant + "-" + lookup / TENANTS;
            if (table.tenantOfKey(key).orElseThrow().name().equals("tenant-" + tenant)) {
                found++;
            }
        }
        long nanos = (System.nanoTime() - startNanos) / LOOKUPS;

        System.out.printf(
                "api keys: %d, table %d bytes, %d ns a lookup%n",
                TENANTS * KEYS_PER_TENANT, bytes, nanos);
        assertThat(found).isEqualTo(LOOKUPS);
        assertThat(nanos).isLessThan(MAX_LOOKUP_NANOS);
        assertThat(bytes).isLessThan(MAX_BYTES_PER_KEY * TENANTS * KEYS_PER_TENANT);
    }

    private static long usedBytes() {
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
