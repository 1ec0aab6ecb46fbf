package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.state.ContentStore;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.HostEntryCodec;
import org.arbutusfield.state.StateItem;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.store.ConditionalWrite;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The entry of a host in a store that answers writes late. */
class HostRegistrarTest {
    private static final Duration WRITE_TIME = Duration.ofSeconds(2);
    private static final Duration LATE_WRITE = Duration.ofSeconds(3);
    private static final HostEntry SELF = new HostEntry("host-1", "g", "d", "127.0.0.1:1", "127.0.0.1:2", 1);

    private final VirtualTimer timer = VirtualTimer.create();
    private final KeyValueContent content = KeyValueContent.create(timer);

    private WatchableStore slowStore() {
        ContentStore direct = ContentStore.of(content, timer);
        return (WatchableStore) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {WatchableStore.class}, (proxy, method, arguments) -> {
                    if (!method.getName().equals("putIf")) {
                        return method.invoke(direct, arguments);
                    }
                    CompletableFuture<Either<Failure, ConditionalWrite>> result = new CompletableFuture<>();
                    timer.after(
                            WRITE_TIME,
                            () -> direct.putIf((String) arguments[0], (byte[]) arguments[1], (long) arguments[2], (long)
                                            arguments[3])
                                    .thenAccept(result::complete));
                    return result;
                });
    }

    private boolean storedReach() {
        KeyValueContent.Item item = content.list("hosts/", "", 1).get(0);
        StateItem decoded =
                HostEntryCodec.decode(item.key(), item.value().bytes()).get();
        return ((StateItem.HostRegistration) decoded).entry().reachesUpstreams();
    }

    /** Guards against an entry that goes on telling what was true when the host began to write it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1_000, 5_000})
    void entryTellsTheLatestReach(int changeAfterMillis) {
        HostRegistrar registrar = HostRegistrar.start(slowStore(), timer, SELF, StoreHealth.create());
        timer.advance(Duration.ofMillis(changeAfterMillis));
        registrar.setReachesUpstreams(false);
        timer.advance(Duration.ofSeconds(6));
        assertThat(storedReach()).isFalse();
    }

    /** The first write gets no answer, and is carried out three seconds later. */
    private WatchableStore storeWithALateWrite() {
        ContentStore direct = ContentStore.of(content, timer);
        AtomicBoolean first = new AtomicBoolean(true);
        return (WatchableStore) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {WatchableStore.class}, (proxy, method, arguments) -> {
                    boolean write = method.getName().startsWith("put");
                    if (!write || !first.getAndSet(false)) {
                        return method.invoke(direct, arguments);
                    }
                    timer.after(LATE_WRITE, () -> {
                        try {
                            method.invoke(direct, arguments);
                        } catch (ReflectiveOperationException e) {
                            throw new LinkageError(e.getMessage(), e);
                        }
                    });
                    return CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.STORE_TIMEOUT)));
                });
    }

    /**
     * Guards against an entry that disappears while its host renews the lease: a late write of an earlier try binds the
     * entry to the lease of that try.
     */
    @Test
    void lateWriteDoesNotBindTheEntryToAnEarlierLease() {
        HostRegistrar registrar = HostRegistrar.start(storeWithALateWrite(), timer, SELF, StoreHealth.create());
        timer.advance(Duration.ofSeconds(1));
        for (int i = 0; i < 100; i++) {
            timer.advance(Duration.ofMillis(100));
            assertThat(content.list("hosts/", "", 1)).hasSize(1);
            assertThat(registrar.held()).isPresent();
        }
    }
}
