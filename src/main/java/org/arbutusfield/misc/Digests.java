package org.arbutusfield.misc;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Content digests. */
public final class Digests {
    private static final String ALGORITHM = "SHA-256";

    private Digests() {}

    /**
     * Digests the bytes with SHA-256.
     *
     * @param content any bytes
     * @return 64 lower-case hexadecimal digits
     */
    public static String sha256(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance(ALGORITHM).digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports " + ALGORITHM, e);
        }
    }
}
