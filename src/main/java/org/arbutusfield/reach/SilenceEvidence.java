package org.arbutusfield.reach;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

/**
 * What a host knows, beside probes, of an upstream that doesn't answer.
 *
 * @param witness tells whether connections have outlived the silence
 * @param cutOff true if this host reaches no upstream at all, so that silence says nothing of a single one
 * @param storeAnswers true while the store answers this host, so that a new start is soon in the state
 */
public record SilenceEvidence(ConnectionWitness witness, BooleanSupplier cutOff, BooleanSupplier storeAnswers) {

    /** Tells whether an upstream has certainly not restarted: its connections would not have outlived that. */
    @FunctionalInterface
    public interface ConnectionWitness {
        /**
         * Returns true if a connection of this host has carried bytes before and after a silence.
         *
         * @param address address of the upstream
         * @param openedBeforeNanos monotonic time before which the connection must have been opened
         * @param receivedAfterNanos monotonic time after which bytes must have been received on it
         */
        boolean survives(InetSocketAddress address, long openedBeforeNanos, long receivedAfterNanos);
    }
}
