package org.arbutusfield.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.admission.Priority;
import org.arbutusfield.admission.SlotRelease.Outcome;
import org.arbutusfield.admission.SlotRequest;
import org.arbutusfield.admission.UpstreamSlots;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.gen.ControlMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three hosts' groups that exchange messages in virtual time. */
class SlotGroupTest {
    private static final String KEY = "quotedesk/gulf";
    private static final Set<String> HOSTS = Set.of("h1", "h2", "h3");

    private final VirtualTimer timer = VirtualTimer.create();
    private final TreeMap<String, SlotGroup> groups = new TreeMap<>();
    private long sequence;

    @BeforeEach
    void start() {
        for (String host : HOSTS) {
            HostIdentity self = new HostIdentity(host, 1, "gulf", "gulf-a");
            groups.put(host, SlotGroup.create(KEY, self, timer, this::send));
        }
        groups.values().forEach(group -> group.configure(List.of(new UpstreamSlots("s1", "gulf-a", 3, false))));
        groups.values().forEach(group -> group.membership(HOSTS));
        timer.every(Duration.ofMillis(10), () -> List.copyOf(groups.values()).forEach(SlotGroup::tick));
        timer.advance(Duration.ofSeconds(2));
    }

    /** Delivers a message after one millisecond unless the receiver has been removed by then. */
    private void send(String host, ControlMessage message) {
        timer.after(Duration.ofMillis(1), () -> {
            SlotGroup group = groups.get(host);
            if (group != null) {
                receive(group, host, message);
            }
        });
    }

    private static void receive(SlotGroup group, String host, ControlMessage message) {
        switch (message.getSetField()) {
            case SLOT_GRANT, SLOT_REFUSAL, SLOT_PERMIT ->
                group.onDecision(SlotCodec.decodeDecision(host, message).get());
            case BROKER_HEARTBEAT ->
                group.onBrokerHeartbeat(
                        message.getBrokerHeartbeat().getBroker(),
                        message.getBrokerHeartbeat().getEpoch());
            default -> {
                SlotCodec.ToBroker decoded = SlotCodec.decodeToBroker(message).get();
                group.onMessageToBroker(decoded.host(), decoded.message());
            }
        }
    }

    private SlotRequest request(String host, long remainingMillis) {
        sequence++;
        return new SlotRequest(
                "r" + sequence,
                host,
                1,
                "gulf-a",
                "quotedesk",
                "quote",
                Priority.INTERACTIVE,
                Duration.ofMillis(remainingMillis).toNanos());
    }

    private CompletableFuture<Either<Failure, String>> requestSlot(String host) {
        return groups.get(host).requestSlot(request(host, 60_000));
    }

    private String broker() {
        return groups.firstEntry().getValue().status().broker();
    }

    @Test
    void hostsTogetherUseExactlyTheSlotsOfTheUpstream() {
        List<CompletableFuture<Either<Failure, String>>> results = new ArrayList<>();
        for (String host : List.of("h1", "h2", "h3", "h1", "h2")) {
            results.add(requestSlot(host));
        }
        timer.advance(Duration.ofMillis(50));
        assertThat(results.stream().filter(CompletableFuture::isDone)).hasSize(3);
        assertThat(groups.get(broker()).status().inUse()).isEqualTo(3);
        results.stream()
                .filter(CompletableFuture::isDone)
                .forEach(f -> assertThat(f.join().get()).isEqualTo("s1"));
    }

    @Test
    void releasedSlotGoesToTheNextRequest() {
        CompletableFuture<Either<Failure, String>> first = groups.get("h1").requestSlot(request("h1", 60_000));
        requestSlot("h2");
        requestSlot("h3");
        timer.advance(Duration.ofMillis(50));
        CompletableFuture<Either<Failure, String>> fourth = requestSlot("h2");
        timer.advance(Duration.ofMillis(50));
        assertThat(first.join().isRight()).isTrue();
        assertThat(fourth).isNotDone();
        groups.get("h1").releaseSlot("r1", Outcome.COMPLETED, 1_000_000);
        timer.advance(Duration.ofMillis(50));
        assertThat(fourth.join().get()).isEqualTo("s1");
    }

    @Test
    void newBrokerCountsSlotsInUseBeforeItGrants() {
        String lostBroker = broker();
        List<String> survivors =
                HOSTS.stream().filter(host -> !host.equals(lostBroker)).sorted().toList();
        CompletableFuture<Either<Failure, String>> firstRequest = requestSlot(survivors.get(0));
        requestSlot(survivors.get(1));
        timer.advance(Duration.ofMillis(50));
        assertThat(firstRequest).isDone();
        groups.remove(lostBroker);
        groups.values().forEach(group -> group.membership(Set.copyOf(survivors)));
        assertThat(survivors).contains(broker());
        List<CompletableFuture<Either<Failure, String>>> results =
                List.of(requestSlot(broker()), requestSlot(broker()));
        timer.advance(Duration.ofMillis(50));
        assertThat(results.stream().filter(CompletableFuture::isDone)).hasSize(1);
        assertThat(groups.get(broker()).status().inUse()).isEqualTo(3);
    }

    @Test
    void hostsUseBaseSharesAndCompleteEveryRequestWithoutBroker() {
        String lostBroker = broker();
        groups.remove(lostBroker);
        timer.advance(Duration.ofMillis(300));
        List<CompletableFuture<Either<Failure, String>>> results = new ArrayList<>();
        for (String host : groups.keySet()) {
            for (int i = 0; i < 4; i++) {
                results.add(groups.get(host).requestSlot(request(host, 500)));
            }
        }
        timer.advance(Duration.ofSeconds(1));
        assertThat(results).allMatch(CompletableFuture::isDone);
        assertThat(results.stream().filter(f -> f.join().isRight()).count()).isBetween(1L, 3L);
        groups.values().forEach(group -> assertThat(group.status().fallback()).isTrue());
    }

    @Test
    void cancelledRequestTakesNoSlot() {
        groups.get("h1").requestSlot(request("h1", 60_000));
        groups.get("h1").cancelRequest("r1");
        timer.advance(Duration.ofMillis(100));
        assertThat(groups.get(broker()).status().inUse()).isZero();
    }

    @Test
    void drainedUpstreamGetsNoRequest() {
        groups.values().forEach(group -> group.configure(List.of(new UpstreamSlots("s1", "gulf-a", 3, true))));
        CompletableFuture<Either<Failure, String>> result = requestSlot("h2");
        timer.advance(Duration.ofMillis(50));
        assertThat(result.join().getLeft().code()).isEqualTo(ErrorCode.NO_UPSTREAM);
    }
}
