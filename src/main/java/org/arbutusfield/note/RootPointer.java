package org.arbutusfield.note;

/**
 * Identifies one configuration by its revision and the digest of its manifest, which covers the whole content.
 *
 * @param revision the revision, 1 or more; 0 for the empty configuration before the first note
 * @param digest SHA-256 of the manifest, in hexadecimal; empty for revision 0
 */
public record RootPointer(long revision, String digest) {
    /** The empty configuration before the first note. */
    public static final RootPointer EMPTY = new RootPointer(0, "");
}
