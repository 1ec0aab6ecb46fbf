package org.arbutusfield.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryBudgetAndBaseShareTest {

    @Property(tries = 200, seed = "7")
    void sharesAddUpToTheSlotsAndDifferOnlyByRounding(
            @ForAll @IntRange(min = 1, max = 20) int hostCount,
            @ForAll @IntRange(min = 0, max = 18) int serverCount,
            @ForAll @IntRange(min = 1, max = 9) int slots) {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < hostCount; i++) {
            hosts.add("h" + i);
        }
        List<UpstreamSlots> servers = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            servers.add(new UpstreamSlots("s" + i, "a", slots, false));
        }
        Map<String, Integer> sums = new HashMap<>();
        for (String host : hosts) {
            int ownSlots = 0;
            for (UpstreamSlots share : BaseShare.of(host, hosts, servers)) {
                ownSlots += share.slots();
                sums.merge(share.upstream(), share.slots(), Integer::sum);
            }
            assertThat(ownSlots).isLessThanOrEqualTo((serverCount * slots + hostCount - 1) / hostCount);
        }
        assertThat(sums).hasSize(serverCount);
        assertThat(sums.values()).allMatch(sum -> sum == slots);
    }

    @ParameterizedTest
    @CsvSource({
        "UPSTREAM_SHED, false, true",
        "UPSTREAM_CONNECT, false, true",
        "UPSTREAM_LOST, false, false",
        "UPSTREAM_TIMEOUT, false, false",
        "UPSTREAM_LOST, true, true",
    })
    void neverRetriesNonRepeatableRequestThatMayHaveRun(ErrorCode code, boolean repeatable, boolean expected) {
        assertThat(RetryBudget.create().tryAcquire(Failure.of(code), repeatable))
                .isEqualTo(expected);
    }

    @Property(tries = 20, seed = "7")
    void retriesStayBelowATenthOfRequestsWhenEverythingFails(@ForAll @IntRange(min = 1000, max = 5000) int requests) {
        RetryBudget budget = RetryBudget.create();
        int attempts = 0;
        for (int i = 0; i < requests; i++) {
            budget.recordFirstAttempt();
            attempts++;
            while (budget.tryAcquire(Failure.of(ErrorCode.UPSTREAM_SHED), true)) {
                attempts++;
            }
        }
        assertThat((double) attempts / requests).isLessThan(1.1);
    }
}
