package org.arbutusfield.wire;

import io.vavr.control.Either;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Registry of a host's message handlers, one per message type. Messages of a type without a handler are refused with
 * {@code MESSAGE_UNKNOWN}.
 */
public final class ControlHandlers {
    private static final Logger LOG = LogManager.getLogger(ControlHandlers.class);

    private final Map<ControlMessage._Fields, ControlHandler> handlers = new ConcurrentHashMap<>();

    private ControlHandlers() {}

    /** A registry without handlers. */
    public static ControlHandlers create() {
        return new ControlHandlers();
    }

    /** Sets the handler of a message type and replaces an earlier one. */
    public void register(ControlMessage._Fields type, ControlHandler handler) {
        handlers.put(type, handler);
    }

    /**
     * Passes a message to its handler and returns the response; an exception of the handler becomes {@code INTERNAL}.
     */
    public CompletableFuture<Either<Failure, ControlMessage>> handle(ControlMessage message) {
        if (message == null || !message.isSet()) {
            return refused(Failure.of(ErrorCode.MESSAGE_UNKNOWN));
        }
        ControlMessage._Fields type = message.getSetField();
        ControlHandler handler = handlers.get(type);
        if (handler == null) {
            return refused(Failure.of(ErrorCode.MESSAGE_UNKNOWN, type.getFieldName()));
        }
        try {
            return handler.handle(message);
        } catch (RuntimeException e) {
            LOG.error("event=control_handler_failed type={}", type.getFieldName(), e);
            return refused(Failure.of(ErrorCode.INTERNAL, type.getFieldName()));
        }
    }

    private static CompletableFuture<Either<Failure, ControlMessage>> refused(Failure failure) {
        return CompletableFuture.completedFuture(Either.left(failure));
    }
}
