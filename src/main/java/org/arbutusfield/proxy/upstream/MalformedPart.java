package org.arbutusfield.proxy.upstream;

import java.util.Optional;
import org.arbutusfield.http.MessageFault;

/** The part of an upstream's bytes for which they are not a valid HTTP response. */
public enum MalformedPart {
    /** The first line of the head. */
    STATUS_LINE,
    /** Another line of the head. */
    FIELD_LINE,
    /** The head as a whole: it is too long. */
    HEAD,
    /** The length of the body isn't one number. */
    CONTENT_LENGTH,
    /** The body is in a transfer coding other than chunks, or in one that may not be there. */
    TRANSFER_ENCODING,
    /** More interim responses than are accepted before one response. */
    INTERIM_RESPONSES,
    /** The body's chunks or trailers. */
    BODY;

    /** The part for a response that was rejected before it was decoded, or whose head couldn't be decoded. */
    static MalformedPart of(Optional<MessageFault> fault) {
        return fault.map(MalformedPart::of).orElse(HEAD);
    }

    private static MalformedPart of(MessageFault fault) {
        return switch (fault) {
            case START_LINE -> STATUS_LINE;
            case FIELD_LINE -> FIELD_LINE;
            case CONTENT_LENGTH -> CONTENT_LENGTH;
            case TRANSFER_ENCODING -> TRANSFER_ENCODING;
            case CHUNK -> BODY;
        };
    }
}
