package org.arbutusfield.lab.admission;

import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.admission.UpstreamSlots;

/** One region of a run: its hosts and servers, the delays between them, and the fault of the run. */
final class SimulatedRegion {
    private static final List<String> DOMAINS = List.of("a", "b");

    private final Workload workload;
    private final SimulationLoop loop;
    private final RunStatistics statistics;
    private final Scenario scenario;
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final List<String> hosts = new ArrayList<>();

    private SimulatedRegion(Workload workload, SimulationLoop loop, RunStatistics statistics, Scenario scenario) {
        this.workload = workload;
        this.loop = loop;
        this.statistics = statistics;
        this.scenario = scenario;
    }

    static SimulatedRegion of(
            Workload workload, int index, SimulationLoop loop, RunStatistics statistics, Scenario scenario) {
        SimulatedRegion region = new SimulatedRegion(workload, loop, statistics, scenario);
        for (int i = 0; i < workload.serversByRegion().get(index); i++) {
            region.servers.add(SimulatedServer.of(
                    "r" + index + "s" + i,
                    DOMAINS.get(i % DOMAINS.size()),
                    workload.slotsPerServer(),
                    loop,
                    statistics));
        }
        for (int i = 0; i < workload.hostsPerRegion(); i++) {
            region.hosts.add("r" + index + "h" + i);
        }
        return region;
    }

    Workload workload() {
        return workload;
    }

    SimulationLoop loop() {
        return loop;
    }

    RunStatistics statistics() {
        return statistics;
    }

    Scenario scenario() {
        return scenario;
    }

    List<SimulatedServer> servers() {
        return servers;
    }

    List<String> hosts() {
        return hosts;
    }

    List<UpstreamSlots> slotServers() {
        return servers.stream()
                .map(s -> new UpstreamSlots(s.name(), s.failureDomain(), s.slots(), false))
                .toList();
    }

    SimulatedServer server(String name) {
        return servers.stream().filter(s -> s.name().equals(name)).findFirst().orElseThrow();
    }

    String failureDomain(String host) {
        return DOMAINS.get(hosts.indexOf(host) % DOMAINS.size());
    }

    /** One-way delay between two hosts, in nanoseconds. */
    long delayNanos(String from, String to) {
        return from.equals(to) ? 0 : domainDelayNanos(failureDomain(from), failureDomain(to));
    }

    /** One-way delay between a host and a server, in nanoseconds. */
    long delayNanos(String host, SimulatedServer server) {
        return domainDelayNanos(failureDomain(host), server.failureDomain());
    }

    private long domainDelayNanos(String from, String to) {
        return from.equals(to) ? workload.intraDomainDelayNanos() : workload.interDomainDelayNanos();
    }
}
