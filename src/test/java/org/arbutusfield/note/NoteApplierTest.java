package org.arbutusfield.note;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.List;
import java.util.stream.Stream;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Drain;
import org.arbutusfield.model.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class NoteApplierTest {
    private static final String ANY =
            "{'name':'any','methods':[],'pathPrefix':'','repeatable':true,'interactive':true,'deadlineMillis':1}";
    private static final String ONLY_GET = ANY.replace("'methods':[]", "'methods':['GET']");
    private static final String OBJECTIVE = "{'requestClass':'%s','latencyMillis':1,'target':0.9,'windowDays':1}";

    static Stream<Arguments> notes() {
        return Stream.of(
                arguments(
                        "'added':{'regions':[{'name':'gulf','hostCeiling':1}]}",
                        "NOTE_ALREADY_EXISTS /added/regions/0"),
                arguments(
                        "'changed':{'regions':[{'name':'moon','hostCeiling':1}]}", "NOTE_NOT_FOUND /changed/regions/0"),
                arguments("'withdrawn':{'blocks':['10.0.0.1/16']}", "NOTE_NOT_FOUND /withdrawn/blocks/0"),
                arguments(
                        "'changed':{'blocks':[{'prefix':'10.0.0.0/16','site':'gulf-b'}]},"
                                + "'withdrawn':{'blocks':['10.0.0.0/16']}",
                        "NOTE_DUPLICATE /withdrawn/blocks/0"),
                arguments(
                        "'added':{'sites':[{'name':'s','failureDomain':'gulf-a'},{'name':'s','failureDomain':'gulf-b'}]}",
                        "NOTE_DUPLICATE /added/sites/1"),
                arguments(
                        "'added':{'sites':[{'name':'s','failureDomain':'moon'}]}",
                        "NOTE_DANGLING_REFERENCE /added/sites/0/failureDomain"),
                arguments(
                        "'added':{'blocks':[{'prefix':'11.0.0.0/8','site':'moon'}]}",
                        "NOTE_DANGLING_REFERENCE /added/blocks/0/site"),
                arguments("'withdrawn':{'sites':['gulf-a']}", "NOTE_DANGLING_REFERENCE /withdrawn/sites/0"),
                arguments(
                        "'added':{'drains':[{'target':'UPSTREAM','name':'moon'}]}",
                        "NOTE_DANGLING_REFERENCE /added/drains/0/name"),
                arguments("'added':{'drains':[{'target':'HOST','name':'any-host'}]}", ""),
                arguments(
                        "'added':{'blocks':[{'prefix':'11.0.0.1/8','site':'gulf-a'}]}",
                        "NOTE_SCHEMA /added/blocks/0/prefix"),
                arguments(
                        "'added':{'blocks':[{'prefix':'011.0.0.0/8','site':'gulf-a'}]}",
                        "NOTE_SCHEMA /added/blocks/0/prefix"),
                arguments(
                        "'added':{'rules':[{'service':'quotedesk','from':'gulf','to':'gulf','preference':1}]}",
                        "NOTE_RULE_CYCLE /added/rules/0/to"),
                arguments(
                        "'added':{'links':[{'from':'gulf','to':'gulf','oneWayMillis':1,'bitsPerSecond':1}]}",
                        "NOTE_SCHEMA /added/links/0/to"),
                arguments(
                        "'withdrawn':{'links':['gulf>piedmont']}",
                        "NOTE_CAP_INFEASIBLE /withdrawn/links/0,NOTE_CAP_INFEASIBLE /withdrawn/links/0"),
                arguments(
                        "'changed':{'upstreams':[{'name':'quotedesk-01','service':'quotedesk',"
                                + "'failureDomain':'gulf-a','host':'127.0.0.1','port':21001,'slots':3,'connections':9}]}",
                        "NOTE_DUPLICATE /changed/upstreams/0/port"),
                arguments(
                        "'changed':{'upstreams':[{'name':'quotedesk-01','service':'quotedesk',"
                                + "'failureDomain':'gulf-a','host':'127.0.0.999','port':1,'slots':3,'connections':2}]}",
                        "NOTE_SCHEMA /changed/upstreams/0/host,NOTE_SCHEMA /changed/upstreams/0/connections"),
                arguments(service("s", 1, ONLY_GET, ""), "NOTE_SCHEMA /added/services/0/classes"),
                arguments(service("s", 1, ANY + "," + ANY, ""), "NOTE_DUPLICATE /added/services/0/classes/1/name"),
                arguments(service("s", 0, ANY, ""), "NOTE_SCHEMA /added/services/0/latencyWeight"),
                arguments(
                        service("s", 1, ANY, String.format(OBJECTIVE, "none")),
                        "NOTE_DANGLING_REFERENCE /added/services/0/objectives/0/requestClass"),
                arguments(service("s", 1, ANY, String.format(OBJECTIVE, "any")), ""),
                arguments("'added':{'drains':[" + drains("gulf") + "]}", ""),
                arguments(
                        "'added':{'drains':[" + drains("gulf", "piedmont", "delta") + "]}",
                        "NOTE_DRAIN_LEAVES_NONE /services/menuvault/regions/delta,"
                                + "NOTE_DRAIN_LEAVES_NONE /services/menuvault/regions/gulf,"
                                + "NOTE_DRAIN_LEAVES_NONE /services/menuvault/regions/piedmont,"
                                + "NOTE_DRAIN_LEAVES_NONE /services/quotedesk/regions/delta,"
                                + "NOTE_DRAIN_LEAVES_NONE /services/quotedesk/regions/gulf,"
                                + "NOTE_DRAIN_LEAVES_NONE /services/quotedesk/regions/piedmont"),
                arguments("'force':true,'added':{'drains':[" + drains("gulf", "piedmont", "delta") + "]}", ""),
                arguments(
                        "'withdrawn':{'sites':['nowhere'],'regions':['moon']},"
                                + "'added':{'sites':[{'name':'s','failureDomain':'moon'}]}",
                        "NOTE_NOT_FOUND /withdrawn/regions/0,NOTE_NOT_FOUND /withdrawn/sites/0,"
                                + "NOTE_DANGLING_REFERENCE /added/sites/0/failureDomain"));
    }

    @ParameterizedTest(name = "{0} -> {1}")
    @MethodSource("notes")
    void reportsEveryFailureWithItsPath(String sections, String failures) {
        List<String> expected = failures.isEmpty() ? List.of() : List.of(failures.split(","));
        assertThat(NoteFixtures.failures(
                        NoteApplier.apply(NoteFixtures.magnoliaState(), NoteFixtures.noteAgainstRevision1(sections))))
                .containsExactlyInAnyOrderElementsOf(expected);
    }

    @Test
    void doesNotModifyTheCurrentState() {
        Configuration before = NoteFixtures.magnoliaState();
        Configuration after = NoteApplier.apply(
                        before,
                        NoteFixtures.noteAgainstRevision1("'added':{'drains':[{'target':'REGION','name':'gulf'}]},"
                                + "'withdrawn':{'blocks':['10.0.0.0/16']},"
                                + "'changed':{'blocks':[{'prefix':'10.1.0.0/16','site':'delta-a'}]}"))
                .get();
        assertThat(before).isEqualTo(NoteFixtures.magnoliaState());
        assertThat(after.revision()).isEqualTo(2);
        assertThat(after.drained(Drain.Target.REGION, "gulf")).isTrue();
        assertThat(after.find(Kind.CLIENT_BLOCK, "10.0.0.0/16")).isEmpty();
        assertThat(after.blocks().siteOf("10.1.0.0/16")).contains("delta-a");
        assertThat(after.blocks().size()).isEqualTo(before.blocks().size() - 1);
    }

    @Test
    void reportsConflictForStaleRevision() {
        ReleaseNote stale = new ReleaseNote("late", 0, List.of(), List.of(), List.of());
        assertThat(NoteFixtures.failures(NoteApplier.apply(NoteFixtures.magnoliaState(), stale)))
                .containsExactly("NOTE_CONFLICT late");
    }

    private static String service(String name, int weight, String classes, String objectives) {
        return String.format(
                "'added':{'services':[{'name':'%s','latencyWeight':%s,'headroomWeight':0,'coldRampSeconds':0,"
                        + "'classes':[%s],'objectives':[%s]}]}",
                name, weight, classes, objectives);
    }

    private static String drains(String... regions) {
        return Stream.of(regions)
                .map(r -> "{'target':'REGION','name':'" + r + "'}")
                .reduce((a, b) -> a + "," + b)
                .orElse("");
    }
}
