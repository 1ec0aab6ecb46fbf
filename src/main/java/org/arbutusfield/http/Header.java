package org.arbutusfield.http;

import java.util.List;
import java.util.Optional;

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

    /** First value of a field among others. */
    public static Optional<String> first(List<Header> headers, String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst();
    }
}
