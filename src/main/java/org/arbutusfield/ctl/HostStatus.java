package org.arbutusfield.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Status of one host, as reported on its admin port.
 *
 * @param address admin address of the host
 * @param name host name; empty when the host did not respond
 * @param state {@code serving}, {@code leaving}, or {@code no answer}
 * @param revision revision in force
 * @param inFlight number of running and waiting requests
 */
record HostStatus(String address, String name, String state, long revision, long inFlight) {

    /** Reads the status from a response of the admin endpoint {@code /status}. */
    static HostStatus of(String address, JsonNode response) {
        return new HostStatus(
                address,
                response.path("host").asText(),
                response.path("state").asText(),
                response.path("revision").asLong(),
                response.path("inFlight").asLong());
    }

    /** Status of a host that did not respond. */
    static HostStatus unreachable(String address) {
        return new HostStatus(address, "", "no answer", 0, 0);
    }

    /** True when the host responded. */
    boolean responded() {
        return !name.isEmpty();
    }
}
