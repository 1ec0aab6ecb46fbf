package org.arbutusfield.distribution;

import org.arbutusfield.member.RevisionAnnouncement;

/**
 * Names one accepted configuration.
 *
 * @param revision 1 or more; larger is later
 * @param digest digest of its content, lower-case hexadecimal
 */
public record RevisionId(long revision, String digest) {
    /** The configuration that a host announces. */
    static RevisionId of(RevisionAnnouncement announcement) {
        return new RevisionId(announcement.revision(), announcement.digest());
    }

    /** This configuration as a host announces it. */
    RevisionAnnouncement announcement() {
        return new RevisionAnnouncement(revision, digest);
    }
}
