package org.arbutusfield.dispatch;

import org.arbutusfield.wire.gen.ControlMessage;

/** Sends a one-way control message to a host by name; messages to unknown or unreachable hosts are lost. */
@FunctionalInterface
interface ControlMessageSender {
    /** Sends the message, never to this host itself. Does not block. */
    void send(String host, ControlMessage message);
}
