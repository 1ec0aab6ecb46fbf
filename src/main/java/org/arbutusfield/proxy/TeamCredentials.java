package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.arbutusfield.team.KeyDigest;
import org.arbutusfield.team.KeyDigester;

/**
 * What the head of a request states of its team, without the key itself. It is read once, and compared with the teams
 * of each configuration under which the request is placed.
 *
 * @param forwarded whether another host of this system forwarded the request, which has identified its team
 * @param forwardedTeam name of the team that this host stated, if there is one
 * @param key digest of the caller's key, if there is exactly one in the valid form
 */
record TeamCredentials(boolean forwarded, Optional<String> forwardedTeam, Optional<KeyDigest> key) {
    private static final String SCHEME = "Bearer ";
    private static final int MAX_BYTE = 0xff;

    /**
     * Reads the fields of a request.
     *
     * @param headers all fields received
     * @param sentByHost whether the sender is a host of this system
     */
    static TeamCredentials read(HttpHeaders headers, BooleanSupplier sentByHost) {
        if (headers.contains(ProxyHeaders.HOP) && sentByHost.getAsBoolean()) {
            List<String> names = headers.getAll(ProxyHeaders.TEAM);
            return new TeamCredentials(
                    true, names.size() == 1 ? Optional.of(names.get(0)) : Optional.empty(), Optional.empty());
        }
        return new TeamCredentials(false, Optional.empty(), key(headers.getAll(HttpHeaderNames.AUTHORIZATION)));
    }

    private static Optional<KeyDigest> key(List<String> fields) {
        if (fields.size() != 1 || !fields.get(0).regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String field = fields.get(0);
        int start = SCHEME.length();
        while (start < field.length() && field.charAt(start) == ' ') {
            start++;
        }
        // The decoder makes one character of each byte.
        boolean bytes = field.chars().allMatch(c -> c <= MAX_BYTE);
        return start == field.length() || !bytes
                ? Optional.empty()
                : Optional.of(
                        KeyDigester.ofProcess().digest(field.substring(start).getBytes(StandardCharsets.ISO_8859_1)));
    }
}
