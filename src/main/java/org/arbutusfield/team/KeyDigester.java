package org.arbutusfield.team;

import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes keyed digests of keys (HMAC-SHA-256). The secret is random and never leaves the process, so digests of
 * different processes can't be compared. Thread-safe.
 */
public final class KeyDigester {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int SECRET_BYTES = 32;
    private static final KeyDigester PROCESS = create(randomSecret());

    private final ThreadLocal<Mac> mac;

    private KeyDigester(ThreadLocal<Mac> mac) {
        this.mac = mac;
    }

    /** Returns the digester of this process, with which all versions of its configuration are read. */
    public static KeyDigester ofProcess() {
        return PROCESS;
    }

    /** Creates a digester with the secret. */
    static KeyDigester create(byte[] secret) {
        SecretKeySpec key = new SecretKeySpec(secret, ALGORITHM);
        return new KeyDigester(ThreadLocal.withInitial(() -> initialized(key)));
    }

    /** Digests all bytes of a key. */
    public KeyDigest digest(byte[] key) {
        return KeyDigest.of(mac.get().doFinal(key));
    }

    private static byte[] randomSecret() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return secret;
    }

    private static Mac initialized(SecretKeySpec key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac;
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("every Java platform supports " + ALGORITHM, e);
        }
    }
}
