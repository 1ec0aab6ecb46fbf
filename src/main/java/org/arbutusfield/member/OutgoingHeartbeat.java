package org.arbutusfield.member;

/**
 * A heartbeat to be sent.
 *
 * @param to the receiver
 * @param heartbeat the message
 */
public record OutgoingHeartbeat(Member to, Heartbeat heartbeat) {}
