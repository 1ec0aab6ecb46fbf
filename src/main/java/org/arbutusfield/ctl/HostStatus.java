package org.arbutusfield.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What one host says of itself.
 *
 * @param address admin address asked
 * @param name host name; empty when the host did not answer
 * @param state {@code serving}, {@code leaving}, or {@code no answer}
 * @param revision revision in force
 * @param inFlight requests running
 */
record HostStatus(String address, String name, String state, long revision, long inFlight) {

    /** The status in an answer of the admin endpoint {@code /status}. */
    static HostStatus of(String address, JsonNode answer) {
        return new HostStatus(
                address,
                answer.path("host").asText(),
                answer.path("state").asText(),
                answer.path("revision").asLong(),
                answer.path("inFlight").asLong());
    }

    /** A host that did not answer. */
    static HostStatus unreachable(String address) {
        return new HostStatus(address, "", "no answer", 0, 0);
    }

    /** True when the host answered. */
    boolean answered() {
        return !name.isEmpty();
    }
}
