package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.error.Failure;
import org.arbutusfield.route.Route;
import org.arbutusfield.team.Team;
import org.arbutusfield.team.TeamDirectory;

/**
 * The team of one request while it waits and runs: checked again by the configuration in force whenever the request is
 * about to be placed or sent. Confined to the request's event loop.
 */
final class RequestTeam {
    private final ProxyComponents components;
    private final RequestHead head;
    private TeamDirectory checkedAgainst;
    private TeamIdentity identity;
    private Optional<Failure> refusal = Optional.empty();
    /** Stays true once the configuration has had teams, so that a key that was read as one is never passed on. */
    private boolean required;

    private RequestTeam(ProxyComponents components, RequestHead head) {
        this.components = components;
        this.head = head;
        identity = head.identity();
        required = identity.required();
    }

    static RequestTeam of(ProxyComponents components, RequestHead head) {
        return new RequestTeam(components, head);
    }

    /** The reason for which the request must not be sent under the configuration in force, if there is one. */
    Optional<Failure> refusal() {
        TeamDirectory teams = components.teams().get();
        if (teams != checkedAgainst) {
            checkedAgainst = teams;
            boolean open = head.route().map(Route::open).orElse(false);
            Either<Failure, TeamIdentity> checked = TeamIdentity.of(head.credentials(), open, teams);
            identity = checked.getOrElse(new TeamIdentity(true, Optional.empty()));
            refusal = checked.fold(Optional::of, known -> Optional.empty());
            required |= identity.required();
        }
        return refusal;
    }

    /** The team by the last check. */
    Optional<Team> team() {
        return identity.team();
    }

    /** The team whose limit this host has to count the request against, if it has one. */
    Optional<Team> limitedTeam() {
        return head.credentials().forwarded()
                ? Optional.empty()
                : identity.team().filter(Team::limited);
    }

    /** Names of received fields that must not be sent to the target; lower case. */
    Set<String> withheldFields(PlacementTarget target) {
        Set<String> names = new HashSet<>();
        if (required) {
            names.add(HttpHeaderNames.AUTHORIZATION.toString());
            components.headerNames().team().ifPresent(names::add);
        }
        if (required || target instanceof PlacementTarget.HostTarget) {
            // Another host believes this field if it comes from a host.
            names.add(ProxyHeaders.TEAM);
        }
        return names;
    }

    /** Adds the field that names the team to the target. */
    void addTo(HttpHeaders headers, PlacementTarget target) {
        Optional<String> field = target instanceof PlacementTarget.HostTarget
                ? Optional.of(ProxyHeaders.TEAM)
                : components.headerNames().team();
        if (identity.team().isPresent() && field.isPresent()) {
            headers.set(field.get(), identity.team().get().name());
        }
    }
}
