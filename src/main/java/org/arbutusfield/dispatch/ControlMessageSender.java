package org.arbutusfield.dispatch;

import org.arbutusfield.wire.gen.ControlMessage;

/** Sends one-way control messages to hosts by name; messages to unknown or unreachable hosts are lost. */
@FunctionalInterface
interface ControlMessageSender {
    /** Sends the message without blocking; never to this host itself. */
    void send(String host, ControlMessage message);
}
