package org.arbutusfield.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.follow.HomesCodec;
import org.arbutusfield.follow.HostEntryCodec;
import org.arbutusfield.follow.ItemDecoder;
import org.arbutusfield.follow.StateItem;
import org.arbutusfield.follow.UpstreamEntry;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.route.CallerLimits;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.route.ServicePolicy;
import org.arbutusfield.route.Share;

/** Decodes the items that the operator and the servers write to the platform's store. */
public final class PlatformItems implements ItemDecoder {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CONFIGURATION = "op/config";
    private static final String EVACUATION = "op/evacuate/";
    private static final String SERVERS = "servers/";

    private PlatformItems() {}

    /** A decoder; it also passes on the items that this product's hosts write themselves. */
    public static PlatformItems create() {
        return new PlatformItems();
    }

    @Override
    public Either<Failure, StateItem> decode(String key, byte[] value) {
        if (key.startsWith(HostEntryCodec.PREFIX)) {
            return HostEntryCodec.decode(key, value);
        }
        if (key.startsWith(HomesCodec.PREFIX)) {
            return HomesCodec.decode(key, value);
        }
        if (key.startsWith(EVACUATION)) {
            return Either.right(new StateItem.DomainDrain(key.substring(EVACUATION.length())));
        }
        boolean server = key.startsWith(SERVERS);
        if (!server && !key.equals(CONFIGURATION)) {
            return Either.right(new StateItem.Other());
        }
        try {
            JsonNode node = JSON.readTree(value);
            StateItem item = server
                    ? new StateItem.UpstreamReport(entry(key.substring(SERVERS.length()), node))
                    : new StateItem.Routes(routes(node));
            return Either.right(item);
        } catch (IOException | MisreadException e) {
            return Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key, String.valueOf(e.getMessage())));
        }
    }

    private static UpstreamEntry entry(String id, JsonNode node) {
        Fields top = Fields.of(node);
        Fields details = top.object("details");
        Fields status = top.object("status");
        return new UpstreamEntry(
                id,
                details.text("service"),
                details.text("zone"),
                address(top.text("address")),
                details.positive("slots"),
                draining(status.text("state")),
                status.duration("cold_remaining"),
                // Milliseconds since the epoch at which this start of the server began.
                top.optionalWhole("born"));
    }

    private static boolean draining(String state) {
        return switch (state) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new MisreadException("state");
        };
    }

    private static InetSocketAddress address(String text) {
        return Addresses.parse(text).orElseThrow(() -> new MisreadException("address"));
    }

    private static RouteTable routes(JsonNode node) {
        Fields top = Fields.of(node);
        Fields limits = top.object("limits");
        CallerLimits callers = new CallerLimits(
                limits.positive("max_header_bytes"),
                limits.whole("max_body_bytes"),
                limits.duration("header_timeout"),
                limits.duration("idle_timeout"));
        List<Route> routes = new ArrayList<>();
        for (Fields listener : top.list("listeners")) {
            for (Fields rule : listener.list("policy")) {
                routes.add(route(listener.text("host"), rule));
            }
        }
        List<ServicePolicy> services =
                top.list("upstreams").stream().map(PlatformItems::service).toList();
        return RouteTable.of(version(top.text("version")), callers, routes, services);
    }

    private static long version(String text) {
        if (!text.matches("r[0-9]{1,18}")) {
            throw new MisreadException("version");
        }
        return Long.parseLong(text.substring(1));
    }

    private static Route route(String host, Fields rule) {
        Fields action = rule.object("action");
        // The kind says what may be repeated; large downloads may be repeated like any idempotent request.
        String kind = rule.text("route_type");
        return new Route(
                rule.text("name"),
                host,
                rule.object("match").text("prefix"),
                repeatable(kind),
                kind.equals("download"),
                action.duration("timeout"),
                rule.duration("target_latency"),
                (int) rule.whole("priority"),
                action.positive("attempts"),
                regions(action),
                rule.flag("session_affinity"),
                shares(action));
    }

    private static boolean repeatable(String kind) {
        return kind.equals("idempotent") || kind.equals("download");
    }

    private static Set<String> regions(Fields action) {
        return new TreeSet<>(action.texts("allowed_regions"));
    }

    private static List<Share> shares(Fields action) {
        Optional<String> only = action.optionalText("service");
        if (only.isPresent()) {
            return List.of(new Share(only.get(), 1));
        }
        return action.list("traffic_split").stream()
                .map(part -> new Share(part.text("service"), (int) part.whole("weight")))
                .toList();
    }

    private static ServicePolicy service(Fields fields) {
        return new ServicePolicy(
                fields.text("name"),
                fields.text("health_path"),
                fields.positive("max_connections"),
                fields.optionalDuration("cold_start").orElse(Duration.ZERO),
                fields.number("cold_per_s"));
    }
}
