package org.arbutusfield.spread;

import org.arbutusfield.member.Announcement;

/**
 * Names one accepted configuration.
 *
 * @param revision 1 or more; larger is later
 * @param digest digest of its content, lower-case hexadecimal
 */
public record RootPointer(long revision, String digest) {
    /** The configuration that a host announces. */
    static RootPointer of(Announcement announcement) {
        return new RootPointer(announcement.revision(), announcement.digest());
    }

    /** This configuration as a host announces it. */
    Announcement announcement() {
        return new Announcement(revision, digest);
    }
}
