package org.arbutusfield;

/** The release of this build, as shown by both programs and sent between hosts. */
public final class Version {
    /** Release number, {@code major.minor.patch}. */
    public static final String RELEASE = "0.1.0";

    private Version() {}
}
