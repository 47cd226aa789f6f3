package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.settings.ParseResult;

class UnknownHomeRegionsTest {
    private static MeshDocument document(String homes) {
        String text =
                """
                {"services": [{"name": "s", "version": "1"}],
                 "routes": [{"name": "r", "host": "h", "service": "s", "homeRegions": %s}]}
                """
                        .formatted(homes);
        return ((ParseResult.Valid<MeshDocument>) DocumentReader.read(text)).value();
    }

    @Example
    void namesTheRegionsThatNoDataCentreIsIn() {
        assertThat(UnknownHomeRegions.find(document("[\"north\", \"moon\"]"), List.of("north")))
                .containsExactly("routes.r", List.of("moon"));
        assertThat(UnknownHomeRegions.find(document("[\"north\"]"), List.of("north"))).isEmpty();
    }
}
