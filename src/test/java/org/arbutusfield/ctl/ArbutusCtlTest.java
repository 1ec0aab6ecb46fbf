package org.arbutusfield.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.lab.StoreStandIn;
import org.arbutusfield.timer.SystemTimer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ArbutusCtlTest {
    private static final String NOTE = "{\"id\":\"n1\",\"against\":0,\"added\":{"
            + "\"regions\":[{\"name\":\"gulf\",\"hostCeiling\":4}],"
            + "\"failureDomains\":[{\"name\":\"gulf-a\",\"region\":\"gulf\"}]}}";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final SystemTimer timer = SystemTimer.start();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private StoreStandIn store;

    @TempDir
    Path folder;

    @BeforeEach
    void startStore() {
        store = StoreStandIn.bind(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), timer)
                .get();
    }

    @AfterEach
    void stopStore() {
        store.close();
        timer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private ExitCode ctl(String... words) {
        out.reset();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        List<String> args = new ArrayList<>(
                List.of("--store", "127.0.0.1:" + store.address().getPort()));
        args.addAll(List.of(words));
        return ArbutusCtl.run(stream, stream, args.toArray(String[]::new));
    }

    private String printed() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String file(String content) throws IOException {
        return Files.writeString(folder.resolve("note.json"), content).toString();
    }

    @Test
    void checksAppliesAndShowsNoteAndReappliesIdempotently() throws IOException {
        String note = file(NOTE);
        assertThat(ctl("note", "check", note)).isEqualTo(ExitCode.DONE);
        assertThat(ctl("show", "regions")).isEqualTo(ExitCode.DONE);
        assertThat(printed()).isEqualTo("none\n");
        assertThat(ctl("note", "apply", note)).isEqualTo(ExitCode.DONE);
        assertThat(ctl("note", "apply", note)).isEqualTo(ExitCode.DONE);
        assertThat(printed()).isEqualTo("applied as revision 1\n");
        assertThat(ctl("--json", "show", "regions")).isEqualTo(ExitCode.DONE);
        assertThat(printed()).isEqualTo("[{\"name\":\"gulf\",\"hostCeiling\":4}]\n");
    }

    @Test
    void findsStatusOfOlderNoteInHistory() throws IOException {
        ctl("note", "apply", file(NOTE));
        ctl("drain", "failure_domain:gulf-a");
        assertThat(ctl("note", "status", "n1")).isEqualTo(ExitCode.DONE);
        assertThat(printed()).isEqualTo("applied as revision 1\n");
        assertThat(ctl("note", "status", "n9")).isEqualTo(ExitCode.REFUSED);
    }

    @Test
    void noteAgainstOldRevisionIsAConflict() throws IOException {
        assertThat(ctl("note", "apply", file(NOTE))).isEqualTo(ExitCode.DONE);
        assertThat(ctl("note", "apply", file(NOTE.replace("n1", "n2")))).isEqualTo(ExitCode.CONFLICT);
        assertThat(printed()).startsWith("NOTE_CONFLICT n2");
    }

    @Test
    void drainAndUndrainWriteNotes() throws IOException {
        ctl("note", "apply", file(NOTE));
        assertThat(ctl("drain", "failure_domain:gulf-a")).isEqualTo(ExitCode.DONE);
        assertThat(printed()).isEqualTo("drained in revision 2\n");
        assertThat(ctl("undrain", "failure_domain:gulf-a")).isEqualTo(ExitCode.DONE);
        assertThat(ctl("undrain", "failure_domain:gulf-a")).isEqualTo(ExitCode.REFUSED);
    }

    @ParameterizedTest
    @CsvSource({
        "'', DONE",
        "version, DONE",
        "bake cake, USAGE",
        "note, USAGE",
        "note apply, USAGE",
        "status, USAGE",
        "show cakes, USAGE",
        "drain gulf, USAGE",
        "drain cake:gulf, USAGE",
        "note wait soon --hosts 127.0.0.1:1, USAGE",
        "status --hosts gulf:1, USAGE",
        "status --hosts 127.0.0.1:1, UNREACHABLE",
        "note apply /nowhere, USAGE",
        "--frost show regions, USAGE",
    })
    void exitCodeMatchesOutcome(String words, ExitCode expected) {
        assertThat(ctl(words.isEmpty() ? new String[0] : words.split(" "))).isEqualTo(expected);
    }

    @Test
    void unavailableStoreExitsWithUnreachable() {
        store.close();
        assertThat(ctl("show", "regions")).isEqualTo(ExitCode.UNREACHABLE);
    }
}
