package org.arbutusfield.store;

import java.util.Arrays;

/** A stored value and its version. Equality is by content. */
public final class VersionedValue {
    private final long version;
    private final byte[] value;

    private VersionedValue(long version, byte[] value) {
        this.version = version;
        this.value = value;
    }

    /** Creates a value with its version; the bytes are copied. */
    public static VersionedValue of(long version, byte[] value) {
        return new VersionedValue(version, value.clone());
    }

    /** The version, 1 or more. */
    public long version() {
        return version;
    }

    /** A copy of the content. */
    public byte[] value() {
        return value.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VersionedValue that && version == that.version && Arrays.equals(value, that.value);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(version) * 31 + Arrays.hashCode(value);
    }

    @Override
    public String toString() {
        return "VersionedValue[version=" + version + ", bytes=" + value.length + "]";
    }
}
