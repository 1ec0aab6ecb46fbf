package org.arbutusfield.lab;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpAnswer;
import org.arbutusfield.http.HttpCall;
import org.arbutusfield.http.HttpListener;
import org.arbutusfield.timer.TimerService;

/** An in-memory key-value store that speaks the store protocol, for tests and demonstrations. */
public final class StoreStandIn implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 2 << 20;

    private final TimerService timer;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Holder> holders = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private HttpListener listener;

    private StoreStandIn(TimerService timer) {
        this.timer = timer;
    }

    /** Starts a store on the address. */
    public static Either<Failure, StoreStandIn> bind(
            EventLoopGroup group, InetSocketAddress address, TimerService timer) {
        StoreStandIn store = new StoreStandIn(timer);
        return HttpListener.bind(group, address, MAX_BODY_BYTES, store::handle).map(bound -> {
            store.listener = bound;
            return store;
        });
    }

    /** The address that was bound. */
    public InetSocketAddress address() {
        return listener.address();
    }

    @Override
    public void close() {
        listener.close();
    }

    private synchronized CompletableFuture<HttpAnswer> handle(HttpCall call) {
        String[] parts = call.path().split("/", 4);
        if (parts.length == 4 && parts[2].equals("values")) {
            return call.method().equals("PUT") ? done(write(parts[3], call)) : read(parts[3], call);
        }
        if (parts.length == 4 && parts[2].equals("leases")) {
            return done(call.method().equals("POST") ? acquire(parts[3], call) : release(parts[3], call));
        }
        return done(HttpAnswer.problem(Failure.of(ErrorCode.PATH_UNKNOWN, call.path())));
    }

    private CompletableFuture<HttpAnswer> read(String key, HttpCall call) {
        long after = number(call, "after", -1);
        Entry entry = entries.get(key);
        if (entry != null && entry.version > after) {
            return done(entry.answer());
        }
        if (after < 0) {
            return done(HttpAnswer.text(404, ""));
        }
        Waiter waiter = new Waiter(key, after, new CompletableFuture<>());
        waiters.add(waiter);
        timer.after(Duration.ofMillis(number(call, "waitMillis", 0)), () -> giveUp(waiter));
        return waiter.answer;
    }

    private synchronized void giveUp(Waiter waiter) {
        waiters.remove(waiter);
        waiter.answer.complete(HttpAnswer.text(204, ""));
    }

    private HttpAnswer write(String key, HttpCall call) {
        Entry entry = entries.get(key);
        long version = entry == null ? 0 : entry.version;
        if (number(call, "expected", -1) != version) {
            return HttpAnswer.text(409, "");
        }
        Entry next = new Entry(version + 1, call);
        entries.put(key, next);
        List<Waiter> woken = waiters.stream().filter(w -> w.key.equals(key)).toList();
        waiters.removeAll(woken);
        woken.forEach(w -> w.answer.complete(next.answer()));
        return next.answer();
    }

    private HttpAnswer acquire(String key, HttpCall call) {
        String name = call.parameter("holder").orElse("");
        Holder holder = holders.get(key);
        long now = timer.nowNanos();
        boolean free = holder == null || holder.endNanos <= now;
        if (!free && !holder.name.equals(name)) {
            return HttpAnswer.text(409, "");
        }
        long length = Duration.ofMillis(number(call, "lengthMillis", 0)).toNanos();
        long token = holder == null ? 1 : free ? holder.token + 1 : holder.token;
        holders.put(key, new Holder(name, token, now + length));
        return HttpAnswer.json(200, "{\"token\":" + token + "}");
    }

    private HttpAnswer release(String key, HttpCall call) {
        Holder holder = holders.get(key);
        if (holder == null || !call.parameter("holder").equals(java.util.Optional.of(holder.name))) {
            return HttpAnswer.text(409, "");
        }
        holders.put(key, new Holder(holder.name, holder.token, timer.nowNanos()));
        return HttpAnswer.json(200, "{}");
    }

    private static long number(HttpCall call, String parameter, long otherwise) {
        return call.parameter(parameter)
                .filter(v -> v.matches("\\d{1,18}"))
                .map(Long::parseLong)
                .orElse(otherwise);
    }

    private static CompletableFuture<HttpAnswer> done(HttpAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private record Entry(long version, HttpCall write) {
        private HttpAnswer answer() {
            return new HttpAnswer(200, List.of(Header.of("x-version", Long.toString(version))), write.body());
        }
    }

    private record Holder(String name, long token, long endNanos) {}

    private record Waiter(String key, long after, CompletableFuture<HttpAnswer> answer) {}
}
