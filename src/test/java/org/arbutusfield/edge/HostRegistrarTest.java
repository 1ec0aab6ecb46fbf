package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.state.ContentStore;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.HostEntryCodec;
import org.arbutusfield.state.StateItem;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The entry of a host in a store that answers writes late. */
class HostRegistrarTest {
    private static final Duration WRITE_TIME = Duration.ofSeconds(2);
    private static final HostEntry SELF = new HostEntry("host-1", "g", "d", "127.0.0.1:1", "127.0.0.1:2", 1);

    private final VirtualTimer timer = VirtualTimer.create();
    private final KeyValueContent content = KeyValueContent.create(timer);

    private WatchableStore slowStore() {
        ContentStore direct = ContentStore.of(content, timer);
        return (WatchableStore) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {WatchableStore.class}, (proxy, method, arguments) -> {
                    if (!method.getName().equals("put")) {
                        return method.invoke(direct, arguments);
                    }
                    CompletableFuture<Either<Failure, StoreRevision>> result = new CompletableFuture<>();
                    timer.after(
                            WRITE_TIME,
                            () -> direct.put((String) arguments[0], (byte[]) arguments[1], (long) arguments[2])
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
}
