package org.arbutusfield.platform;

/** A field of a message is missing or of another type; caught where the whole message is read. */
final class InvalidFieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidFieldException(String field) {
        super("field " + field, null, false, false);
    }
}
