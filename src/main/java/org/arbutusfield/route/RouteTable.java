package org.arbutusfield.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.team.TeamDirectory;

/** All routes and services of one version of the operator's configuration. Immutable. */
public final class RouteTable {
    private final long version;
    private final CallerLimits limits;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Route> routesByName;
    private final Map<String, ServicePolicy> services;
    private final TeamDirectory teams;

    private RouteTable(
            long version,
            CallerLimits limits,
            Map<String, List<Route>> routesByHost,
            Map<String, Route> routesByName,
            Map<String, ServicePolicy> services,
            TeamDirectory teams) {
        this.version = version;
        this.limits = limits;
        this.routesByHost = routesByHost;
        this.routesByName = routesByName;
        this.services = services;
        this.teams = teams;
    }

    /** Creates the table of a configuration without teams. */
    public static RouteTable of(
            long version, CallerLimits limits, Collection<Route> routes, Collection<ServicePolicy> services) {
        return of(version, limits, routes, services, TeamDirectory.empty());
    }

    /**
     * Creates a table.
     *
     * @param version increases with each change by the operator
     * @param limits limits on callers
     * @param routes all routes
     * @param services all services
     * @param teams all teams
     */
    public static RouteTable of(
            long version,
            CallerLimits limits,
            Collection<Route> routes,
            Collection<ServicePolicy> services,
            TeamDirectory teams) {
        Map<String, List<Route>> byHost = new HashMap<>();
        Map<String, Route> routesByName = new HashMap<>();
        for (Route route : routes) {
            routesByName.put(route.name(), route);
            byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.prefix().length())
                .reversed();
        byHost.replaceAll((host, list) -> list.stream().sorted(longestFirst).toList());
        Map<String, ServicePolicy> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        return new RouteTable(version, limits, Map.copyOf(byHost), Map.copyOf(routesByName), Map.copyOf(byName), teams);
    }

    /** Returns the version of the configuration. */
    public long version() {
        return version;
    }

    /** Returns the limits on callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the teams. */
    public TeamDirectory teams() {
        return teams;
    }

    /** Returns the number of routes. */
    public int size() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the route with the name, if there is one. */
    public Optional<Route> route(String name) {
        return Optional.ofNullable(routesByName.get(name));
    }

    /** Returns the service with the name, if there is one. */
    public Optional<ServicePolicy> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the route of a request: among the routes of the host, the one with the longest matching path prefix.
     *
     * @param host host name in the request, without port
     * @param path path as the caller sent it, without query
     */
    public Optional<Route> match(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
