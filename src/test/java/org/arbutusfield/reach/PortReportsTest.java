package org.arbutusfield.reach;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Hosts that tell each other of an upstream's end, in virtual time; some don't answer. */
class PortReportsTest {
    private static final UpstreamStart ENDED = new UpstreamStart("u-3", 1);
    private static final Duration ONE_WAY = Duration.ofMillis(12);
    private static final Duration SPREAD = Duration.ofSeconds(1);
    private static final int FIRST_PORT = 1_000;

    private final VirtualTimer timer = VirtualTimer.create();
    private final List<PortReports> reports = new ArrayList<>();
    private final List<ControlHandlers> handlers = new ArrayList<>();
    private final Set<Integer> told = new HashSet<>();
    private final Set<Integer> silent = new HashSet<>();
    private int messages;

    private void start(int hosts) {
        List<HostEntry> entries = IntStream.range(0, hosts)
                .mapToObj(i -> new HostEntry("host-" + i, "g", "d", "127.0.0.1:1", "127.0.0.1:" + (FIRST_PORT + i), 1))
                .toList();
        SteeringState state = new SteeringState(
                Optional.empty(), Map.of(), Set.of(), entries, Map.of(), Map.of(), StoreRevision.NONE);
        for (int i = 0; i < hosts; i++) {
            int number = i;
            ControlHandlers own = ControlHandlers.create();
            PortReports host = PortReports.create(
                    "host-" + i,
                    () -> state,
                    this::call,
                    (start, open) -> told.add(number),
                    timer,
                    new SplittableRandom(i));
            host.register(own);
            handlers.add(own);
            reports.add(host);
        }
    }

    private CompletableFuture<Either<Failure, ControlMessage>> call(
            PeerAddress peer, ControlMessage message, Duration timeout) {
        messages++;
        CompletableFuture<Either<Failure, ControlMessage>> result = new CompletableFuture<>();
        timer.after(timeout, () -> result.complete(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))));
        int to = peer.port() - FIRST_PORT;
        if (!silent.contains(to)) {
            timer.after(
                    ONE_WAY,
                    () -> handlers.get(to)
                            .handle(message)
                            .thenAccept(response -> timer.after(ONE_WAY, () -> result.complete(response))));
        }
        return result;
    }

    /**
     * Guards against hosts that send to a cold upstream at their full rate because they had no connection to lose, and
     * against as many messages as there are pairs of hosts when all of them see its end.
     */
    @ParameterizedTest
    @CsvSource({"2, 1", "20, 1", "20, 12", "118, 118", "500, 500"})
    void allHostsAreToldWithFewMessages(int hosts, int finders) {
        start(hosts);
        for (int i = 0; i < finders; i++) {
            reports.get(i).found(ENDED, false);
        }
        timer.advance(SPREAD);
        assertThat(told.size()).isGreaterThanOrEqualTo(hosts - 1);
        assertThat(messages).isLessThanOrEqualTo(2 * hosts);
    }

    /** Guards against an end of which nobody is told because the host that passes it on is gone. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7})
    void reportIsPassedOnAlthoughAHostIsGone(int gone) {
        start(8);
        silent.add(gone);
        reports.get((gone + 1) % 8).found(ENDED, false);
        timer.advance(SPREAD);
        assertThat(told.size()).isGreaterThanOrEqualTo(6);
    }

    /** While a port stays closed it is found closed again and again; hosts that were away are told later. */
    @ParameterizedTest
    @ValueSource(ints = {5, 7})
    void reportIsRepeatedWhileItsCauseLasts(int away) {
        start(8);
        silent.add(away);
        for (int second = 0; second < 8; second++) {
            reports.get(0).found(ENDED, false);
            timer.advance(Duration.ofSeconds(1));
            if (second == 3) {
                silent.clear();
            }
        }
        assertThat(told).contains(away);
        assertThat(messages).isLessThanOrEqualTo(4 * 8);
    }
}
