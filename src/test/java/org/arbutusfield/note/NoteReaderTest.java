package org.arbutusfield.note;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class NoteReaderTest {
    private static final String HEAD = "{'id':'a','against':0,";

    static Stream<Arguments> refused() {
        return Stream.of(
                arguments("empty", "", "NOTE_MALFORMED "),
                arguments("blank", "  \n", "NOTE_MALFORMED "),
                arguments("not an object", "[1]", "NOTE_SCHEMA "),
                arguments("truncated", HEAD, "NOTE_MALFORMED "),
                arguments("second document", HEAD + "'added':{}} {}", "NOTE_MALFORMED "),
                arguments("duplicate key", HEAD + "'id':'b'}", "NOTE_MALFORMED "),
                arguments("deep nesting", "[".repeat(100_000), "NOTE_MALFORMED "),
                arguments("NaN", HEAD + "'x':NaN}", "NOTE_MALFORMED "),
                arguments("huge number", HEAD + "'x':" + "9".repeat(40) + "}", "NOTE_MALFORMED "),
                arguments("huge exponent", "{'id':'a','against':1e400}", "NOTE_SCHEMA /against,NOTE_SCHEMA /against"),
                arguments("negative revision", "{'id':'a','against':-1}", "NOTE_SCHEMA /against"),
                arguments("fraction as revision", "{'id':'a','against':1.5}", "NOTE_SCHEMA /against"),
                arguments("no id", "{'against':1}", "NOTE_SCHEMA /id"),
                arguments("id with a slash", "{'id':'a/b','against':1}", "NOTE_SCHEMA /id"),
                arguments("unknown section", HEAD + "'removed':{}}", "NOTE_SCHEMA /removed"),
                arguments("unknown kind", HEAD + "'added':{'planets':[]}}", "NOTE_SCHEMA /added/planets"),
                arguments("kind not a list", HEAD + "'added':{'sites':{}}}", "NOTE_SCHEMA /added/sites"),
                arguments(
                        "unknown field",
                        HEAD + "'added':{'sites':[{'name':'x','failureDomain':'y','z':1}]}}",
                        "NOTE_SCHEMA /added/sites/0/z"),
                arguments(
                        "missing field",
                        HEAD + "'added':{'sites':[{'name':'x'}]}}",
                        "NOTE_SCHEMA /added/sites/0/failureDomain"),
                arguments("null item", HEAD + "'added':{'sites':[null]}}", "NOTE_SCHEMA /added/sites/0"),
                arguments("number as key", HEAD + "'withdrawn':{'sites':[7]}}", "NOTE_SCHEMA /withdrawn/sites/0"),
                arguments(
                        "port out of range",
                        HEAD + "'changed':{'upstreams':[{'name':'u','service':'s','failureDomain':'d',"
                                + "'host':'10.0.0.1','port':70000,'slots':1,'connections':9}]}}",
                        "NOTE_SCHEMA /changed/upstreams/0/port"),
                arguments(
                        "share above one",
                        HEAD + "'added':{'caps':[{'service':'s','from':'a','to':'b','maxShare':1.01,"
                                + "'intervalSeconds':1,'maxPerInterval':1}]}}",
                        "NOTE_SCHEMA /added/caps/0/maxShare"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refused")
    void refusesInvalidNoteWithPath(String name, String note, String failure) {
        byte[] document = note.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        assertThat(NoteFixtures.failures(NoteReader.read(document))).containsExactly(failure.split(","));
    }

    @ParameterizedTest
    @ValueSource(strings = {"magnolia", "sunsafety"})
    void readsAndAppliesExampleNotes(String name) {
        assertThat(NoteReader.read(NoteFixtures.example(name))
                        .flatMap(note -> NoteApplier.apply(org.arbutusfield.model.Configuration.empty(), note))
                        .get()
                        .revision())
                .isEqualTo(1);
    }

    @Test
    void reportsAllSchemaFailures() {
        String note = HEAD + "'added':{'sites':[{'name':'x'},{'name':'?','failureDomain':'d'}],'regions':[{}]}}";
        assertThat(NoteFixtures.failures(NoteReader.read(note.replace('\'', '"').getBytes(StandardCharsets.UTF_8))))
                .containsExactlyInAnyOrder(
                        "NOTE_SCHEMA /added/regions/0/name",
                        "NOTE_SCHEMA /added/regions/0/hostCeiling",
                        "NOTE_SCHEMA /added/sites/0/failureDomain",
                        "NOTE_SCHEMA /added/sites/1/name");
    }

    @Test
    void refusesInvalidUtf8() {
        byte[] document = "{\"id\":\"a?\",\"against\":0}".getBytes(StandardCharsets.UTF_8);
        document[8] = (byte) 0xC0;
        assertThat(NoteFixtures.failures(NoteReader.read(document))).containsExactly("NOTE_MALFORMED ");
        byte[] utf16 = "{\"id\":\"a\",\"against\":0}".getBytes(StandardCharsets.UTF_16LE);
        assertThat(NoteFixtures.failures(NoteReader.read(utf16))).containsExactly("NOTE_MALFORMED ");
    }

    @Test
    void refusesOversizedNote() {
        assertThat(NoteFixtures.failures(NoteReader.read(new byte[10 << 20]))).containsExactly("NOTE_TOO_LARGE ");
    }

    @Test
    void refusesTooManyTokensBeforeBuildingTheTree() {
        String many = HEAD.replace('\'', '"') + "\"added\":{\"sites\":[" + "{},".repeat(2_500_000) + "{}]}}";
        assertThat(NoteFixtures.failures(NoteReader.read(many.getBytes(StandardCharsets.UTF_8))))
                .containsExactly("NOTE_TOO_LARGE ");
    }

    @Test
    void limitsTheNumberOfReportedFailures() {
        String many = HEAD.replace('\'', '"') + "\"added\":{\"sites\":[" + "7,".repeat(400_000) + "7]}}";
        assertThat(NoteReader.read(many.getBytes(StandardCharsets.UTF_8)).getLeft())
                .hasSize(ValidationFailures.MAX_FAILURES)
                .allMatch(f -> f.code() == ErrorCode.NOTE_SCHEMA);
    }
}
