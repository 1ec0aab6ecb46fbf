package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.misc.LogValue;

/**
 * A request that this host answers itself, without an upstream. Confined to the event loop of the caller's connection.
 */
final class LocalExchange implements RequestHandler {
    private static final Logger LOG = LogManager.getLogger(LocalExchange.class);

    private final CallerRequest caller;
    private final HttpRequest request;
    private final String requestId;
    private final RequestBody body;
    private final ProxyLimits limits;
    private final Function<SimpleHttpRequest, CompletableFuture<Either<Failure, SimpleHttpResponse>>> handler;
    private boolean responded;
    private boolean ended;

    private LocalExchange(
            CallerRequest caller,
            ProxyContext context,
            HttpRequest request,
            String requestId,
            Function<SimpleHttpRequest, CompletableFuture<Either<Failure, SimpleHttpResponse>>> handler) {
        this.caller = caller;
        this.request = request;
        this.requestId = requestId;
        this.handler = handler;
        limits = context.limits();
        body = RequestBody.of(limits.replayBytes(), context.requestBuffers());
    }

    /** A request that the local handler answers. */
    static LocalExchange of(CallerRequest caller, ProxyContext context, HttpRequest request, String requestId) {
        return new LocalExchange(
                caller,
                context,
                request,
                requestId,
                localRequest -> context.components()
                        .localHandler()
                        .handle(localRequest, caller.remoteAddress())
                        .thenApply(Either::right));
    }

    /** A refused request without a body; the connection can be reused afterwards. */
    static LocalExchange refusing(
            CallerRequest caller, ProxyContext context, HttpRequest request, String requestId, Failure failure) {
        return new LocalExchange(
                caller,
                context,
                request,
                requestId,
                localRequest -> CompletableFuture.completedFuture(Either.left(failure)));
    }

    void start() {
        caller.timer().set(System.nanoTime() + limits.bodyTimeout().toNanos());
        caller.demandBody(HttpUtil.is100ContinueExpected(request));
    }

    @Override
    public void bodyPart(HttpContent part) {
        if (responded || ended) {
            part.release();
            return;
        }
        Optional<ErrorCode> fault = body.receive(part, limits.replayBytes());
        if (fault.isPresent()) {
            refuse(fault.get());
        } else if (body.ended()) {
            respond();
        } else {
            caller.demandBody(false);
        }
    }

    @Override
    public void callerGone() {
        end(false);
    }

    @Override
    public void writabilityChanged() {
        caller.flush();
    }

    @Override
    public void expired() {
        if (responded) {
            caller.reset();
            end(false);
        } else {
            refuse(ErrorCode.REQUEST_TIMEOUT);
        }
    }

    private void respond() {
        caller.timer().clear();
        List<Header> headers = request.headers().entries().stream()
                .map(field -> Header.of(field.getKey(), field.getValue()))
                .toList();
        SimpleHttpRequest localRequest =
                new SimpleHttpRequest(request.method().name(), request.uri(), headers, Body.of(body.bytes()));
        handler.apply(localRequest).whenComplete((result, error) -> {
            if (caller.loop().inEventLoop()) {
                write(result, error);
            } else {
                caller.loop().execute(() -> write(result, error));
            }
        });
    }

    private void write(Either<Failure, SimpleHttpResponse> result, Throwable error) {
        if (ended) {
            return;
        }
        if (error != null) {
            LOG.error("event=local_handler_failed id={}", LogValue.of(requestId), error);
            caller.writeProblem(Failure.of(ErrorCode.INTERNAL), requestId, true);
        } else {
            result.peek(response -> caller.writeResponse(response, requestId))
                    .peekLeft(failure -> caller.writeProblem(failure, requestId, true));
        }
        flush(true);
    }

    private void refuse(ErrorCode code) {
        if (responded || ended) {
            return;
        }
        caller.writeProblem(Failure.of(code, "body"), requestId, false);
        flush(false);
    }

    private void flush(boolean reusable) {
        responded = true;
        caller.timer().set(System.nanoTime() + limits.writeTimeout().toNanos());
        caller.afterWrites(written -> end(written && reusable));
    }

    private void end(boolean reusable) {
        if (ended) {
            return;
        }
        ended = true;
        caller.timer().clear();
        body.release();
        caller.exchangeDone(reusable);
    }
}
