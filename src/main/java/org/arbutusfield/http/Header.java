package org.arbutusfield.http;

/**
 * One HTTP header field.
 *
 * @param name field name; matching ignores case
 * @param value field value
 */
public record Header(String name, String value) {
    /** A header field. */
    public static Header of(String name, String value) {
        return new Header(name, value);
    }
}
