package org.arbutusfield.dispatch;

import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.lookup.BlockTable;
import org.arbutusfield.lookup.EntryHost;
import org.arbutusfield.lookup.LookupCache;
import org.arbutusfield.lookup.LookupPolicy;
import org.arbutusfield.lookup.LookupView;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.member.MembershipView;
import org.arbutusfield.member.Rumour;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.proxy.LocalHandler;
import org.arbutusfield.timer.TimerService;

/** Answers {@code GET /-/lookup/SERVICE} from memory with the entry hosts that a caller should use. */
public final class LookupHandler implements LocalHandler {
    private static final String PREFIX = "/-/lookup/";
    private static final double EQUAL_WEIGHT = 1.0;

    private final HostIdentity self;
    private final TimerService timer;
    private final Object lock = new Object();
    private final AtomicReference<LookupCache> cache = new AtomicReference<>();
    private Configuration configuration = Configuration.empty();
    private BlockTable blocks = BlockTable.empty();
    private List<EntryHost> hosts = List.of();
    private long version;

    private LookupHandler(HostIdentity self, TimerService timer) {
        this.self = self;
        this.timer = timer;
    }

    /** Creates a handler that refuses look-ups until a configuration is installed. */
    public static LookupHandler create(HostIdentity self, TimerService timer) {
        return new LookupHandler(self, timer);
    }

    /** Installs the configuration in force with its table of client blocks. */
    public void configure(Configuration next, BlockTable table) {
        synchronized (lock) {
            configuration = next;
            blocks = table;
            rebuildCache();
        }
    }

    /**
     * Installs the known hosts. Must also be called regularly without changes: an old view shortens the time for which
     * responses may be cached.
     */
    public void membership(MembershipView view) {
        synchronized (lock) {
            List<EntryHost> present = new ArrayList<>();
            for (Rumour rumour : view.table().rumours()) {
                if (rumour.state() != MemberState.DEAD) {
                    present.add(toEntryHost(rumour));
                }
            }
            hosts = List.copyOf(present);
            rebuildCache();
        }
    }

    @Override
    public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request, InetSocketAddress caller) {
        return CompletableFuture.completedFuture(respond(request, caller));
    }

    private SimpleHttpResponse respond(SimpleHttpRequest request, InetSocketAddress caller) {
        if (!request.path().startsWith(PREFIX)) {
            return SimpleHttpResponse.problem(Failure.of(ErrorCode.PATH_UNKNOWN, request.path()));
        }
        if (!request.method().equals("GET")) {
            return SimpleHttpResponse.problem(Failure.of(ErrorCode.METHOD_NOT_ALLOWED, request.method()));
        }
        LookupCache current = cache.get();
        if (current == null) {
            return SimpleHttpResponse.problem(Failure.of(ErrorCode.NO_CONFIGURATION));
        }
        String service = request.path().substring(PREFIX.length());
        long now = timer.nowNanos();
        return current.answer(service, ipv4(caller.getAddress()), now)
                .fold(SimpleHttpResponse::problem, body -> lookupResponse(body, current.view(), now));
    }

    private static SimpleHttpResponse lookupResponse(byte[] body, LookupView view, long now) {
        int maxAge = LookupPolicy.stale(view, now) ? LookupPolicy.SHORT_MAX_AGE_SECONDS : LookupPolicy.MAX_AGE_SECONDS;
        List<Header> headers = List.of(
                Header.of("content-type", "application/json"),
                Header.of("cache-control", "private, max-age=" + maxAge));
        return new SimpleHttpResponse(200, headers, Body.of(body));
    }

    private void rebuildCache() {
        if (configuration.revision() == 0) {
            return;
        }
        version++;
        LookupView.Version viewVersion = new LookupView.Version(version, timer.nowNanos());
        cache.set(LookupCache.of(
                LookupView.of(viewVersion, configuration, hosts, blocks, self.failureDomain(), List.of())));
    }

    private static EntryHost toEntryHost(Rumour rumour) {
        Member member = rumour.member();
        EntryHost.State state =
                switch (rumour.state()) {
                    case ALIVE -> EntryHost.State.SERVING;
                    case LEAVING -> EntryHost.State.LEAVING;
                    default -> EntryHost.State.SUSPECT;
                };
        return new EntryHost(
                member.name(),
                member.region(),
                member.failureDomain(),
                member.callerHost(),
                member.callerPort(),
                state,
                EQUAL_WEIGHT);
    }

    private static int ipv4(InetAddress address) {
        return address instanceof Inet4Address
                ? ByteBuffer.wrap(address.getAddress()).getInt()
                : 0;
    }
}
