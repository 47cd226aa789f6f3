package org.cuminreach.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.function.Function;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class CheckedJsonTest {
    private static final Function<CheckedObject, Long> PORT =
            object -> object.number("port", 1, 65_535);

    @Example
    void overrideTakesPrecedenceOverFile() {
        ParseResult<Long> result =
                CheckedJson.read("{\"port\": 1}", List.of(override("port=8080")), PORT);

        assertThat(result).isEqualTo(new ParseResult.Valid<>(8_080L));
    }

    @Example
    void overrideIsCheckedAndMayAddObjects() {
        ParseResult<Long> result =
                CheckedJson.read(
                        "{\"port\": 1}",
                        List.of(override("port=none"), override("log.colour=red")),
                        PORT);

        assertThat(paths(result)).containsExactly("port", "log");
    }

    @Example
    void overrideBelowNonObjectIsRefused() {
        ParseResult<Long> result =
                CheckedJson.read("{\"port\": 1}", List.of(override("port.high=2")), PORT);

        assertThat(paths(result)).containsExactly("port.high");
    }

    @Example
    void equalAddressesAreRefused() {
        ParseResult<Address> result =
                CheckedJson.read(
                        "{\"first\": \"127.0.0.1:1\", \"second\": \"127.0.0.1:1\"}",
                        object -> {
                            Address first = object.address("first");
                            DistinctAddresses.of(object)
                                    .with("first", first)
                                    .with("second", object.address("second"));
                            return first;
                        });

        assertThat(paths(result)).containsExactly("second");
    }

    @Property(seed = "21", tries = 500)
    void arbitraryTextIsReportedAsInvalid(@ForAll String text) {
        ParseResult<Long> result = CheckedJson.read(text, PORT);

        assertThat(result).isInstanceOf(ParseResult.Invalid.class);
    }

    @Property(seed = "22", tries = 500)
    void arbitraryTextIsNoAddress(@ForAll String text) {
        assertThat(Address.parse(text)).isEmpty();
    }

    @Example
    void addressesAreIpNumbersAndPorts() {
        assertThat(Address.parse("10.0.0.1:7000")).hasValue(new Address("10.0.0.1", 7_000));
        assertThat(Address.parse("10.0.0.256:7000")).isEmpty();
        assertThat(Address.parse("10.0.0.1:0")).isEmpty();
        assertThat(Address.parse("10.0.0.1:65536")).isEmpty();
        assertThat(Address.parse("localhost:7000")).isEmpty();
    }

    private static FieldOverride override(String text) {
        return FieldOverride.parse(text).orElseThrow();
    }

    private static <T> List<String> paths(ParseResult<T> result) {
        return ((ParseResult.Invalid<T>) result).faults().stream().map(Fault::path).toList();
    }
}
