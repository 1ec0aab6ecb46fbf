package org.arbutusfield.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.member.Member;
import org.arbutusfield.observe.HostBurn;

/**
 * Handles the read-only requests of the admin port: liveness, readiness, status, members, error budget burn and
 * metrics.
 */
final class AdminHandler implements HttpServer.Handler {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Supplier<HostStatus> status;
    private final Supplier<List<Member>> members;
    private final Supplier<HostBurn> burn;
    private final Supplier<String> metrics;

    private AdminHandler(
            Supplier<HostStatus> status,
            Supplier<List<Member>> members,
            Supplier<HostBurn> burn,
            Supplier<String> metrics) {
        this.status = status;
        this.members = members;
        this.burn = burn;
        this.metrics = metrics;
    }

    /** Creates a handler that obtains its responses from the given suppliers. */
    static AdminHandler of(
            Supplier<HostStatus> status,
            Supplier<List<Member>> members,
            Supplier<HostBurn> burn,
            Supplier<String> metrics) {
        return new AdminHandler(status, members, burn, metrics);
    }

    @Override
    public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
        return CompletableFuture.completedFuture(respond(request));
    }

    private SimpleHttpResponse respond(SimpleHttpRequest request) {
        if (!request.method().equals("GET")) {
            return SimpleHttpResponse.problem(Failure.of(ErrorCode.METHOD_NOT_ALLOWED, request.method()));
        }
        return switch (request.path()) {
            case "/live" -> SimpleHttpResponse.text(200, "live\n");
            case "/ready" -> readiness(status.get());
            case "/status" -> json(status.get());
            case "/members" -> json(members.get());
            case "/burn" -> json(burn.get());
            case "/metrics" -> SimpleHttpResponse.text(200, metrics.get());
            default -> SimpleHttpResponse.problem(Failure.of(ErrorCode.PATH_UNKNOWN, request.path()));
        };
    }

    private static SimpleHttpResponse readiness(HostStatus hostStatus) {
        if (hostStatus.state().equals("leaving")) {
            return SimpleHttpResponse.problem(Failure.of(ErrorCode.HOST_LEAVING));
        }
        if (hostStatus.revision() == 0) {
            return SimpleHttpResponse.problem(Failure.of(ErrorCode.NO_CONFIGURATION));
        }
        return SimpleHttpResponse.text(200, "ready\n");
    }

    private static SimpleHttpResponse json(Object value) {
        try {
            return SimpleHttpResponse.json(200, JSON.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            return SimpleHttpResponse.problem(Failure.of(ErrorCode.INTERNAL, "", e.getOriginalMessage()));
        }
    }
}
