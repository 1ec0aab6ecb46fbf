package org.arbutusfield.edge;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.share.LentView;
import org.arbutusfield.share.ShareView;

/**
 * The page for operators on teams: what this host was asked for, sent and refused for each, the share that it holds
 * and, on the host that leads, what is lent. Keys of teams are not on it.
 */
final class TeamPage {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Bounds the page on hosts that serve thousands of teams. */
    private static final int MAX_TEAMS = 100;

    private final String host;
    private final Supplier<List<ShareView>> shares;
    private final Supplier<List<LentView>> lent;

    private TeamPage(String host, Supplier<List<ShareView>> shares, Supplier<List<LentView>> lent) {
        this.host = host;
        this.shares = shares;
        this.lent = lent;
    }

    /**
     * Creates the page.
     *
     * @param host name of this host
     * @param shares supplies what this host holds and has counted
     * @param lent supplies what this host has lent; empty while it doesn't lead
     */
    static TeamPage of(String host, Supplier<List<ShareView>> shares, Supplier<List<LentView>> lent) {
        return new TeamPage(host, shares, lent);
    }

    /** Returns the page as JSON, with the teams that were asked for most. */
    SimpleHttpResponse render() {
        ObjectNode page = JSON.createObjectNode().put("host", host);
        ArrayNode teams = page.putArray("teams");
        shares.get().stream()
                .sorted(Comparator.comparingLong(ShareView::asked).reversed())
                .limit(MAX_TEAMS)
                .forEach(view -> add(teams.addObject(), view));
        ArrayNode lentShares = page.putArray("lent");
        lent.get().stream()
                .sorted(Comparator.comparingDouble(LentView::rate).reversed())
                .limit(MAX_TEAMS)
                .forEach(view -> add(lentShares.addObject(), view));
        return SimpleHttpResponse.json(200, page.toString());
    }

    private static void add(ObjectNode row, ShareView view) {
        row.put("team", view.team())
                .put("asked", view.asked())
                .put("allowed", view.allowed())
                .put("givenBack", view.givenBack())
                .put("rate", view.rate())
                .put("burst", view.burst())
                .put("remainingMillis", view.remaining().toMillis())
                .put("lender", view.lender().orElse(""));
        ObjectNode refused = row.putObject("refused");
        view.refused().forEach((reason, count) -> refused.put(reason.name(), count));
    }

    private static void add(ObjectNode row, LentView view) {
        row.put("team", view.team())
                .put("limitRate", view.limit().ratePerSecond())
                .put("limitBurst", view.limit().burst())
                .put("hosts", view.hosts())
                .put("rate", view.rate())
                .put("burst", view.burst())
                .put("reserve", view.reserve())
                .put("takingOver", view.takingOver());
    }
}
