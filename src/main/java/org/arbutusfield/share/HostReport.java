package org.arbutusfield.share;

import java.util.List;
import org.arbutusfield.wire.gen.ShareReport;
import org.arbutusfield.wire.gen.ShareState;

/**
 * The report of a host.
 *
 * @param host name of the host
 * @param incarnation number of the process; increases with each start of the host
 * @param version version of the configuration that the host knows
 * @param term term that the last answer named; 0 if there was none
 * @param uptimeMillis time since its process started; negative if an older build doesn't tell
 * @param teams what it reports of each team
 */
record HostReport(String host, long incarnation, long version, long term, long uptimeMillis, List<TeamReport> teams) {
    private static final long UNKNOWN_UPTIME = -1;

    HostReport {
        teams = List.copyOf(teams);
    }

    static HostReport decode(ShareReport message) {
        return new HostReport(
                message.getHost(),
                message.getIncarnation(),
                message.getVersion(),
                message.getTerm(),
                message.isSetUptimeMillis() ? message.getUptimeMillis() : UNKNOWN_UPTIME,
                message.getTeams().stream().map(HostReport::decode).toList());
    }

    ShareReport encode() {
        ShareReport message = new ShareReport(
                host,
                incarnation,
                version,
                teams.stream().map(HostReport::encode).toList(),
                term);
        if (uptimeMillis >= 0) {
            message.setUptimeMillis(uptimeMillis);
        }
        return message;
    }

    private static TeamReport decode(ShareState state) {
        return new TeamReport(
                state.getTeam(),
                state.getNumber(),
                state.getDemand(),
                state.getRate(),
                state.getBurst(),
                state.getRemainingMillis(),
                state.getWanted(),
                state.getReturned(),
                new TeamLimit(state.getLimitRate(), state.getLimitBurst()));
    }

    private static ShareState encode(TeamReport report) {
        return new ShareState(
                report.team(),
                report.number(),
                report.demandPerSecond(),
                report.rate(),
                report.burst(),
                report.remainingMillis(),
                report.wanted(),
                report.returned(),
                report.limit().ratePerSecond(),
                report.limit().burst());
    }
}
