package org.arbutusfield.member;

/**
 * The revision of the configuration that a host has installed, as carried in its heartbeats.
 *
 * @param revision the revision; 0 before the first
 * @param digest digest of its content, lower-case hexadecimal; empty before the first
 */
public record RevisionAnnouncement(long revision, String digest) {
    /** What a host without a configuration announces. */
    public static final RevisionAnnouncement NONE = new RevisionAnnouncement(0, "");
}
