package org.arbutusfield.distribution;

import org.arbutusfield.member.RevisionAnnouncement;

/**
 * Identifies one accepted configuration.
 *
 * @param revision number of the revision, 1 or more; a larger number is later
 * @param digest digest of its content, lower-case hexadecimal
 */
public record RevisionId(long revision, String digest) {
    /** The revision that a host announces. */
    static RevisionId of(RevisionAnnouncement announcement) {
        return new RevisionId(announcement.revision(), announcement.digest());
    }

    /** This revision as a host announces it. */
    RevisionAnnouncement announcement() {
        return new RevisionAnnouncement(revision, digest);
    }
}
