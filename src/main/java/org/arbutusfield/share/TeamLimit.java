package org.arbutusfield.share;

/**
 * The limit of a team over all hosts.
 *
 * @param ratePerSecond requests per second; more than 0
 * @param burst requests beyond the rate; 0 or more
 */
public record TeamLimit(double ratePerSecond, double burst) {}
