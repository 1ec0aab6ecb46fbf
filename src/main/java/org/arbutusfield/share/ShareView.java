package org.arbutusfield.share;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * What a host has sent and holds for one team, for operators.
 *
 * @param team name of the team
 * @param asked requests for which callers asked since the team was first used here
 * @param allowed requests that could be sent
 * @param givenBack requests of these that reached no upstream
 * @param refused requests that were refused, by reason
 * @param rate rate of the share, in requests per second; 0 without one
 * @param burst burst of the share
 * @param remaining time until the share ends
 * @param lender name of the host that leads; empty if none is known
 */
public record ShareView(
        String team,
        long asked,
        long allowed,
        long givenBack,
        Map<ShareOutcome, Long> refused,
        double rate,
        double burst,
        Duration remaining,
        Optional<String> lender) {

    /** Makes the record immutable by copying the map. */
    public ShareView {
        refused = Map.copyOf(refused);
    }
}
