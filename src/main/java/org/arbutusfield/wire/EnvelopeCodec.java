package org.arbutusfield.wire;

import io.vavr.control.Either;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.Envelope;

/**
 * Encodes and decodes the content of frames: an {@link Envelope} in Thrift's compact protocol.
 *
 * <p>Fields and union members that this release does not know are skipped; an envelope whose message is unknown decodes
 * with an unset message, which the receiver refuses without closing the connection.
 */
public final class EnvelopeCodec {
    /** The version of the message format that this release sends. */
    public static final int VERSION = 1;

    /** Longest string or binary and largest container that is decoded, in bytes and elements. */
    static final int MAX_ELEMENT_LENGTH = ControlLimits.MAX_FRAME_BYTES;

    private EnvelopeCodec() {}

    /** An envelope of this release's version. */
    public static Envelope envelope(EnvelopeKind kind, long correlationId, ControlMessage message) {
        Envelope envelope = new Envelope();
        envelope.setVersion(VERSION);
        envelope.setKind(kind.code());
        envelope.setCorrelationId(correlationId);
        envelope.setMessage(message);
        return envelope;
    }

    /** Encodes an envelope, or fails with {@code FRAME_TOO_LARGE} or {@code INTERNAL}. */
    public static Either<Failure, byte[]> encode(Envelope envelope) {
        try {
            byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(envelope);
            if (bytes.length > ControlLimits.MAX_FRAME_BYTES) {
                return Either.left(Failure.of(ErrorCode.FRAME_TOO_LARGE, "", bytes.length + " bytes"));
            }
            return Either.right(bytes);
        } catch (TException e) {
            return Either.left(Failure.of(ErrorCode.INTERNAL, "envelope", e.toString()));
        }
    }

    /** Decodes an envelope, or fails with {@code PEER_PROTOCOL}. */
    public static Either<Failure, Envelope> decode(byte[] bytes) {
        Envelope envelope = new Envelope();
        try {
            new TDeserializer(new TCompactProtocol.Factory(MAX_ELEMENT_LENGTH, MAX_ELEMENT_LENGTH))
                    .deserialize(envelope, bytes);
        } catch (TException | RuntimeException e) {
            return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "envelope", String.valueOf(e.getMessage())));
        }
        if (envelope.getVersion() < 1 || EnvelopeKind.of(envelope.getKind()).isEmpty()) {
            return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "envelope", "missing version or unknown kind"));
        }
        return Either.right(envelope);
    }
}
