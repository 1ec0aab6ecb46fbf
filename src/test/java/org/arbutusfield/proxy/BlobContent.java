package org.arbutusfield.proxy;

/** The content of the blobs that an upstream stand-in serves. */
final class BlobContent {
    private BlobContent() {}

    static byte[] bytes(String target, int length) {
        byte[] bytes = new byte[length];
        int seed = target.hashCode();
        for (int i = 0; i < length; i++) {
            bytes[i] = byteAt(seed, i);
        }
        return bytes;
    }

    static byte byteAt(int seed, long position) {
        return (byte) (seed + position * 31 + (position >> 8));
    }
}
