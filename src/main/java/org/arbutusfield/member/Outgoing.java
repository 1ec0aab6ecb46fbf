package org.arbutusfield.member;

/**
 * A heartbeat to be sent.
 *
 * @param to the receiver
 * @param heartbeat the message
 */
public record Outgoing(Member to, Heartbeat heartbeat) {}
