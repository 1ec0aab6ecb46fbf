package org.arbutusfield.lookup;

import io.vavr.control.Either;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * An IPv4 prefix in canonical form: no leading zeros, no bits set beyond the prefix length.
 *
 * @param base first address of the block, as 32 bits
 * @param length prefix length in bits, 0 to 32
 */
public record Ipv4Block(int base, int length) {
    private static final int ADDRESS_BITS = 32;
    private static final int OCTETS = 4;
    private static final int OCTET_MAX = 255;
    private static final long MALFORMED = -1;

    /** Parses CIDR notation; anything but the canonical form is a {@code NOTE_SCHEMA} failure. */
    public static Either<Failure, Ipv4Block> parse(String prefix) {
        int slash = prefix.indexOf('/');
        long base = slash < 0 ? MALFORMED : parseDotted(prefix, slash);
        int length = slash < 0 ? -1 : parseNumber(prefix, slash + 1, prefix.length(), ADDRESS_BITS);
        if (base == MALFORMED || length < 0 || ((int) base & ~mask(length)) != 0) {
            return Either.left(Failure.of(ErrorCode.NOTE_SCHEMA, prefix, "not a canonical IPv4 prefix"));
        }
        return Either.right(new Ipv4Block((int) base, length));
    }

    /** Parses a dotted address; anything but the canonical form is a {@code REQUEST_MALFORMED} failure. */
    public static Either<Failure, Integer> parseAddress(String address) {
        long value = parseDotted(address, address.length());
        return value == MALFORMED
                ? Either.left(Failure.of(ErrorCode.REQUEST_MALFORMED, address, "not an IPv4 address"))
                : Either.right((int) value);
    }

    /** The notation that {@link #parse} reads. */
    public String notation() {
        return (base >>> 24) + "." + (base >>> 16 & OCTET_MAX) + "." + (base >>> 8 & OCTET_MAX) + "."
                + (base & OCTET_MAX) + "/" + length;
    }

    /** A mask with the first {@code length} bits set. */
    static int mask(int length) {
        return length == 0 ? 0 : -1 << (ADDRESS_BITS - length);
    }

    private static long parseDotted(String text, int end) {
        long value = 0;
        int start = 0;
        for (int octet = 1; octet <= OCTETS; octet++) {
            int dot = octet == OCTETS ? end : text.indexOf('.', start);
            if (dot < 0 || dot > end) {
                return MALFORMED;
            }
            int number = parseNumber(text, start, dot, OCTET_MAX);
            if (number < 0) {
                return MALFORMED;
            }
            value = value << 8 | number;
            start = dot + 1;
        }
        return value;
    }

    private static int parseNumber(String text, int start, int end, int max) {
        int digits = end - start;
        if (digits < 1 || digits > 3 || (digits > 1 && text.charAt(start) == '0')) {
            return -1;
        }
        int value = 0;
        for (int i = start; i < end; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = value * 10 + digit;
        }
        return value > max ? -1 : value;
    }
}
