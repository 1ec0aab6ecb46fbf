package org.arbutusfield.store;

import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.lab.MemoryStore;
import org.arbutusfield.lab.StoreStandIn;
import org.arbutusfield.timer.SystemTimer;
import org.arbutusfield.timer.VirtualTimer;

/**
 * A store under test, the in-memory store that holds its content and injects faults, and the steps to wait and close.
 */
record StoreFixture(Store store, MemoryStore content, BooleanSupplier step, Runnable closer) implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofMillis(400);
    private static final Duration WARM_UP_TIMEOUT = Duration.ofSeconds(10);

    static StoreFixture inMemory() {
        VirtualTimer timer = VirtualTimer.create();
        MemoryStore store = MemoryStore.create(timer, TIMEOUT);
        return new StoreFixture(store, store, timer::step, () -> {});
    }

    static StoreFixture overHttp() {
        SystemTimer timer = SystemTimer.start();
        NioEventLoopGroup group = new NioEventLoopGroup(2);
        StoreStandIn standIn = StoreStandIn.bind(
                        group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), timer)
                .get();
        HttpClient caller = HttpClient.create(group, WARM_UP_TIMEOUT);
        HttpStore.create(caller, standIn.address(), WARM_UP_TIMEOUT)
                .read("warm-up")
                .join();
        HttpStore store = HttpStore.create(caller, standIn.address(), TIMEOUT);
        return new StoreFixture(store, standIn.store(), () -> false, () -> {
            standIn.close();
            timer.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        });
    }

    <T> Either<Failure, T> await(CompletableFuture<Either<Failure, T>> result) {
        boolean timersPending = true;
        while (timersPending && !result.isDone()) {
            timersPending = step.getAsBoolean();
        }
        return result.orTimeout(10, TimeUnit.SECONDS).join();
    }

    @Override
    public void close() {
        closer.run();
    }
}
