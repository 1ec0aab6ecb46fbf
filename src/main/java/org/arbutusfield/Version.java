package org.arbutusfield;

/** The release of this build, printed by the programs. */
public final class Version {
    /** Release number, {@code major.minor.patch}. */
    public static final String RELEASE = "0.1.0";

    private Version() {}
}
