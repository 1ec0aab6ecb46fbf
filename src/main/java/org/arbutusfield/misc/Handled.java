package org.arbutusfield.misc;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * What runs when a future completes, made so that no error is lost: neither that of the future, nor one of the action
 * itself. A continuation that only gets the value runs never if the future has failed, and its own error goes into a
 * future that nobody looks at.
 *
 * <p>To be passed to {@code whenComplete}.
 */
public final class Handled {
    private static final Logger LOG = LogManager.getLogger(Handled.class);

    private Handled() {}

    /** Runs the action with the value; logs any error. */
    public static <T> BiConsumer<T, Throwable> by(Consumer<? super T> action) {
        return by(action, error -> {});
    }

    /**
     * Runs the action with the value; logs any error.
     *
     * @param action gets the value
     * @param recovery runs after an error of the future or of the action, so that what should go on goes on
     */
    public static <T> BiConsumer<T, Throwable> by(Consumer<? super T> action, Consumer<Throwable> recovery) {
        return (value, error) -> {
            Throwable failed = error == null ? errorOf(action, value) : error;
            if (failed != null) {
                recover(recovery, failed);
            }
        };
    }

    /** The recovery comes first: with the heap full, the line may fail, and what should go on must not end with it. */
    private static void recover(Consumer<Throwable> recovery, Throwable failed) {
        try {
            recovery.accept(failed);
        } finally {
            ErrorLog.write(LOG, "future_failed", failed);
        }
    }

    /**
     * Makes a call. An error that it throws before there is a future becomes that of the future, so that one recovery
     * serves both.
     */
    public static <T> CompletableFuture<T> started(Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException | Error e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Runs the action, and returns its error, or null if there is none. */
    private static <T> Throwable errorOf(Consumer<? super T> action, T value) {
        try {
            action.accept(value);
            return null;
        } catch (RuntimeException | Error e) {
            return e;
        }
    }
}
