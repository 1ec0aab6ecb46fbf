package org.arbutusfield.home;

/**
 * An upstream that may be home to objects.
 *
 * @param name its name
 * @param slots requests that it runs at once
 */
public record Candidate(String name, int slots) {}
