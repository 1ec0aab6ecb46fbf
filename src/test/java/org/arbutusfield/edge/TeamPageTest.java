package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.arbutusfield.share.LentView;
import org.arbutusfield.share.ShareOutcome;
import org.arbutusfield.share.ShareView;
import org.arbutusfield.share.TeamLimit;
import org.junit.jupiter.api.Test;

/** What operators see of teams on a host. */
class TeamPageTest {
    private static ShareView share(int asked) {
        return new ShareView(
                "team-" + asked,
                asked,
                asked - 1,
                0,
                Map.of(ShareOutcome.LIMIT, 1L),
                2.5,
                4,
                Duration.ofSeconds(3),
                Optional.of("h1"));
    }

    private static JsonNode page(List<ShareView> shares, List<LentView> lent) throws IOException {
        return new ObjectMapper()
                .readTree(TeamPage.of("h7", () -> shares, () -> lent)
                        .render()
                        .body()
                        .bytes());
    }

    /** Guards against a page that doesn't tell why a team's requests are refused, or who lends. */
    @Test
    void pageTellsShareRefusalsAndLender() throws IOException {
        LentView lent = new LentView("team-9", new TeamLimit(10, 20), 4, 8, 9, 1.5, true);
        JsonNode page = page(List.of(share(9)), List.of(lent));
        assertThat(page.path("host").asText()).isEqualTo("h7");
        JsonNode row = page.path("teams").get(0);
        assertThat(row.path("refused").path("LIMIT").asInt()).isEqualTo(1);
        assertThat(row.path("remainingMillis").asInt()).isEqualTo(3000);
        assertThat(row.path("lender").asText()).isEqualTo("h1");
        assertThat(page.path("lent").get(0).path("takingOver").asBoolean()).isTrue();
    }

    /** Guards against a page that grows with the number of teams. */
    @Test
    void pageHoldsTheTeamsThatAskMost() throws IOException {
        List<ShareView> shares =
                IntStream.rangeClosed(1, 300).mapToObj(TeamPageTest::share).toList();
        JsonNode teams = page(shares, List.of()).path("teams");
        assertThat(teams.size()).isEqualTo(100);
        assertThat(teams.get(0).path("team").asText()).isEqualTo("team-300");
    }
}
