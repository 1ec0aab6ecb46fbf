package org.arbutusfield.platform;

/** A field of a message is missing or has the wrong type. Caught where the whole message is decoded. */
final class InvalidFieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidFieldException(String field) {
        super("missing or invalid field: " + field, null, false, false);
    }
}
