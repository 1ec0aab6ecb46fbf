package org.arbutusfield.lab.admission;

import java.util.ArrayList;
import java.util.List;
import org.arbutusfield.admission.SlotServer;

/** One region of a run: its hosts and servers, the delays between them, and the fault of the run. */
final class Site {
    private static final List<String> DOMAINS = List.of("a", "b");

    private final Workload workload;
    private final Loop loop;
    private final Tally tally;
    private final Scenario scenario;
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final List<String> hosts = new ArrayList<>();

    private Site(Workload workload, Loop loop, Tally tally, Scenario scenario) {
        this.workload = workload;
        this.loop = loop;
        this.tally = tally;
        this.scenario = scenario;
    }

    static Site of(Workload workload, int region, Loop loop, Tally tally, Scenario scenario) {
        Site site = new Site(workload, loop, tally, scenario);
        for (int i = 0; i < workload.serversByRegion().get(region); i++) {
            site.servers.add(SimulatedServer.of(
                    "r" + region + "s" + i, DOMAINS.get(i % DOMAINS.size()), workload.slots(), loop, tally));
        }
        for (int i = 0; i < workload.hostsPerRegion(); i++) {
            site.hosts.add("r" + region + "h" + i);
        }
        return site;
    }

    Workload workload() {
        return workload;
    }

    Loop loop() {
        return loop;
    }

    Tally tally() {
        return tally;
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

    List<SlotServer> slotServers() {
        return servers.stream()
                .map(s -> new SlotServer(s.name(), s.failureDomain(), s.slots(), false))
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
        return from.equals(to) ? workload.withinDomainNanos() : workload.domainNanos();
    }
}
