package org.arbutusfield.platform;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.misc.VisibleAscii;
import org.arbutusfield.route.CallerLimits;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.route.ServicePolicy;
import org.arbutusfield.route.WeightedService;
import org.arbutusfield.state.HomesCodec;
import org.arbutusfield.state.HostEntryCodec;
import org.arbutusfield.state.ItemDecoder;
import org.arbutusfield.state.SettledEraCodec;
import org.arbutusfield.state.StateItem;
import org.arbutusfield.state.SuspectCodec;
import org.arbutusfield.state.UpstreamEntry;
import org.arbutusfield.team.KeyDigest;
import org.arbutusfield.team.KeyDigester;
import org.arbutusfield.team.Team;
import org.arbutusfield.team.TeamDirectory;

/** Decodes the items that the operator and the upstreams write to the platform's store. */
public final class PlatformItemDecoder implements ItemDecoder {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CONFIGURATION_KEY = "op/config";
    private static final String EVACUATION_PREFIX = "op/evacuate/";
    private static final String UPSTREAM_PREFIX = "servers/";

    private PlatformItemDecoder() {}

    /** Creates a decoder. It also decodes the items that this product's hosts write. */
    public static PlatformItemDecoder create() {
        return new PlatformItemDecoder();
    }

    @Override
    public Either<Failure, StateItem> decode(String key, byte[] value) {
        if (key.startsWith(HostEntryCodec.PREFIX)) {
            return HostEntryCodec.decode(key, value);
        }
        if (key.startsWith(HomesCodec.PREFIX)) {
            return HomesCodec.decode(key, value);
        }
        if (key.startsWith(SuspectCodec.PREFIX)) {
            return SuspectCodec.decode(key, value);
        }
        if (key.equals(SettledEraCodec.KEY)) {
            return SettledEraCodec.decode(value);
        }
        if (key.startsWith(EVACUATION_PREFIX)) {
            return Either.right(new StateItem.DomainDrain(key.substring(EVACUATION_PREFIX.length())));
        }
        boolean isUpstream = key.startsWith(UPSTREAM_PREFIX);
        if (!isUpstream && !key.equals(CONFIGURATION_KEY)) {
            return Either.right(new StateItem.Other());
        }
        try {
            JsonNode node = JSON.readTree(value);
            StateItem item = isUpstream
                    ? new StateItem.UpstreamRegistration(entry(key.substring(UPSTREAM_PREFIX.length()), node))
                    : new StateItem.Routes(routes(node));
            return Either.right(item);
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key, invalidJson(e)));
        } catch (IOException | InvalidFieldException e) {
            return Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, key, String.valueOf(e.getMessage())));
        }
    }

    /** Tells where the text is invalid, without quoting it: the message of the parser may contain a team's key. */
    static String invalidJson(JsonProcessingException e) {
        JsonLocation location = e.getLocation();
        return location == null
                ? "invalid JSON"
                : "invalid JSON at line " + location.getLineNr() + " column " + location.getColumnNr();
    }

    private static UpstreamEntry entry(String id, JsonNode node) {
        JsonFields root = JsonFields.of(node);
        JsonFields details = root.object("details");
        JsonFields status = root.object("status");
        return new UpstreamEntry(
                visible(id),
                details.string("service"),
                details.string("zone"),
                address(root.string("address")),
                details.positiveInt("slots"),
                draining(status.string("state")),
                status.duration("cold_remaining"),
                status.longOrZero("sequence"),
                // Time of this start of the upstream, in milliseconds since the epoch.
                root.longOrZero("born"));
    }

    /** Returns the id, which becomes the value of a header field. */
    private static String visible(String id) {
        if (id.isEmpty() || !VisibleAscii.only(id)) {
            throw new InvalidFieldException("id");
        }
        return id;
    }

    private static boolean draining(String state) {
        return switch (state) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new InvalidFieldException("state");
        };
    }

    private static InetSocketAddress address(String text) {
        return Addresses.parse(text).orElseThrow(() -> new InvalidFieldException("address"));
    }

    private static RouteTable routes(JsonNode node) {
        JsonFields root = JsonFields.of(node);
        JsonFields limits = root.object("limits");
        CallerLimits callers = new CallerLimits(
                limits.positiveInt("max_header_bytes"),
                limits.longValue("max_body_bytes"),
                limits.duration("header_timeout"),
                limits.duration("idle_timeout"));
        List<Route> routes = new ArrayList<>();
        for (JsonFields listener : root.objects("listeners")) {
            for (JsonFields rule : listener.objects("policy")) {
                routes.add(route(listener.string("host"), rule));
            }
        }
        List<ServicePolicy> services = root.objects("upstreams").stream()
                .map(PlatformItemDecoder::service)
                .toList();
        return RouteTable.of(version(root.string("version")), callers, routes, services, teams(root));
    }

    private static TeamDirectory teams(JsonFields root) {
        return TeamDirectory.of(root.optionalObjects("tenants").stream()
                .map(PlatformItemDecoder::team)
                .toList());
    }

    private static TeamDirectory.Entry team(JsonFields fields) {
        Team team = new Team(
                teamName(fields.string("name")),
                fields.optionalRank("priority"),
                fields.amountOrZero("rate_per_s"),
                fields.amountOrZero("burst"),
                new TreeSet<>(fields.texts("allowed_regions")));
        // An empty key would be the key of a caller that sends none.
        List<KeyDigest> keys = fields.texts("api_keys").stream()
                .filter(key -> !key.isEmpty())
                .map(key -> KeyDigester.ofProcess().digest(key.getBytes(StandardCharsets.UTF_8)))
                .toList();
        return new TeamDirectory.Entry(team, keys);
    }

    /** Returns the name, which becomes the value of a header field; spaces are allowed inside it. */
    private static String teamName(String name) {
        if (!name.equals(name.strip()) || !VisibleAscii.only(name.replace(' ', '-')) || name.isEmpty()) {
            throw new InvalidFieldException("name");
        }
        return name;
    }

    private static long version(String text) {
        if (!text.matches("r[0-9]{1,18}")) {
            throw new InvalidFieldException("version");
        }
        return Long.parseLong(text.substring(1));
    }

    private static Route route(String host, JsonFields rule) {
        JsonFields action = rule.object("action");
        // The route type determines whether a request is idempotent; large downloads count as idempotent.
        String routeType = rule.string("route_type");
        return new Route(
                rule.string("name"),
                host,
                rule.object("match").string("prefix"),
                isIdempotent(routeType),
                routeType.equals("download"),
                action.duration("timeout"),
                rule.duration("target_latency"),
                (int) rule.longValue("priority"),
                action.positiveInt("attempts"),
                regions(action),
                rule.flag("session_affinity"),
                weightedServices(action),
                rule.isTrue("public"),
                routeType.equals("upload"));
    }

    private static boolean isIdempotent(String routeType) {
        return routeType.equals("idempotent") || routeType.equals("download");
    }

    private static Set<String> regions(JsonFields action) {
        return new TreeSet<>(action.strings("allowed_regions"));
    }

    private static List<WeightedService> weightedServices(JsonFields action) {
        Optional<String> only = action.optionalString("service");
        if (only.isPresent()) {
            return List.of(new WeightedService(only.get(), 1));
        }
        return action.objects("traffic_split").stream()
                .map(part -> new WeightedService(part.string("service"), (int) part.longValue("weight")))
                .toList();
    }

    private static ServicePolicy service(JsonFields fields) {
        return new ServicePolicy(
                fields.string("name"),
                fields.string("health_path"),
                fields.positiveInt("max_connections"),
                fields.optionalDuration("cold_start").orElse(Duration.ZERO),
                fields.doubleOrZero("cold_per_s"));
    }
}
