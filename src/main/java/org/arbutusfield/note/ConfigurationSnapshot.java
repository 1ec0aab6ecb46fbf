package org.arbutusfield.note;

import io.vavr.control.Either;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Digests;
import org.arbutusfield.model.ClientBlockList;
import org.arbutusfield.model.ClientBlockSegment;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;

/**
 * A configuration together with its encoded form: a manifest and the segments that it lists, each at most as large as
 * the largest value of the store.
 *
 * <p>A host that has an older snapshot needs only the new manifest and the segments listed by {@link #missingDigests}.
 * {@link #assemble} verifies each part against its digest and builds the whole snapshot.
 */
public final class ConfigurationSnapshot {
    private static final ConfigurationSnapshot EMPTY =
            new ConfigurationSnapshot(Configuration.empty(), RootPointer.EMPTY, new byte[0], Map.of());
    private static final int LENGTH_FIELD_BYTES = Integer.BYTES;

    private final Configuration configuration;
    private final RootPointer pointer;
    private final byte[] manifest;
    private final Map<String, byte[]> segments;

    private ConfigurationSnapshot(
            Configuration configuration, RootPointer pointer, byte[] manifest, Map<String, byte[]> segments) {
        this.configuration = configuration;
        this.pointer = pointer;
        this.manifest = manifest;
        this.segments = segments;
    }

    /** The snapshot before the first note. */
    public static ConfigurationSnapshot empty() {
        return EMPTY;
    }

    /** Encodes a configuration. Equal configurations have equal pointers and segments. */
    public static ConfigurationSnapshot of(Configuration configuration) {
        if (configuration.revision() == 0) {
            return EMPTY;
        }
        Map<Kind, List<String>> digests = new EnumMap<>(Kind.class);
        Map<String, byte[]> segments = new LinkedHashMap<>();
        for (Kind kind : Kind.values()) {
            List<Segment> encoded = encode(configuration, kind);
            digests.put(kind, encoded.stream().map(Segment::digest).toList());
            encoded.forEach(segment -> segments.put(segment.digest(), segment.bytes()));
        }
        Segment manifest = new Manifest(configuration.revision(), configuration.noteId(), digests).encode();
        RootPointer pointer = new RootPointer(configuration.revision(), manifest.digest());
        return new ConfigurationSnapshot(configuration, pointer, manifest.bytes(), segments);
    }

    /**
     * Returns the digests of the segments that a manifest lists.
     *
     * @param pointer the pointer to the configuration
     * @param manifest the encoded manifest received for it
     * @return the digests, or {@code STORE_CORRUPT} when the manifest does not match the pointer
     */
    public static Either<Failure, List<String>> digestsOf(RootPointer pointer, byte[] manifest) {
        return verifyManifest(pointer, manifest).map(Manifest::digests);
    }

    /**
     * Builds a snapshot from its parts and verifies each against its digest.
     *
     * @param pointer the pointer to the configuration
     * @param manifest the encoded manifest
     * @param segments returns a segment by its digest
     * @return the snapshot, or {@code STORE_CORRUPT} when a part is missing or damaged
     */
    public static Either<Failure, ConfigurationSnapshot> assemble(
            RootPointer pointer, byte[] manifest, Function<String, Optional<byte[]>> segments) {
        return verifyManifest(pointer, manifest)
                .flatMap(contents -> verifySegments(contents, segments)
                        .flatMap(found -> decode(contents, found)
                                .map(state -> new ConfigurationSnapshot(state, pointer, manifest, found))));
    }

    /** The decoded configuration. */
    public Configuration configuration() {
        return configuration;
    }

    /** Revision and manifest digest of the configuration. */
    public RootPointer pointer() {
        return pointer;
    }

    /** The encoded manifest; must not be modified. */
    public byte[] manifest() {
        return manifest;
    }

    /** Digests of all segments. */
    public Set<String> digests() {
        return segments.keySet();
    }

    /** Content of a segment, at most 1 MiB; must not be modified. */
    public Optional<byte[]> segment(String digest) {
        return Optional.ofNullable(segments.get(digest));
    }

    /** Returns the digests of this snapshot's segments that are not among the given ones. */
    public List<String> missingDigests(Set<String> present) {
        return segments.keySet().stream()
                .filter(digest -> !present.contains(digest))
                .toList();
    }

    /**
     * Encodes the whole snapshot: length and content of the manifest, then length and content of each segment. Lengths
     * are 32-bit big-endian integers.
     */
    public byte[] encode() {
        long total = (long) LENGTH_FIELD_BYTES + manifest.length;
        for (byte[] segment : segments.values()) {
            total += LENGTH_FIELD_BYTES + segment.length;
        }
        ByteBuffer out = ByteBuffer.allocate(Math.toIntExact(total));
        out.putInt(manifest.length).put(manifest);
        segments.values().forEach(segment -> out.putInt(segment.length).put(segment));
        return out.array();
    }

    /** Decodes the result of {@link #encode}; fails with {@code STORE_CORRUPT}. */
    public static Either<Failure, ConfigurationSnapshot> decode(RootPointer pointer, byte[] encoded) {
        Map<String, byte[]> segments = new HashMap<>();
        byte[] manifest;
        try {
            ByteBuffer in = ByteBuffer.wrap(encoded);
            manifest = readPart(in);
            while (in.hasRemaining()) {
                byte[] segment = readPart(in);
                segments.put(Digests.sha256(segment), segment);
            }
        } catch (BufferUnderflowException e) {
            return Either.left(corrupt("snapshot", "truncated"));
        }
        return assemble(pointer, manifest, digest -> Optional.ofNullable(segments.get(digest)));
    }

    private static byte[] readPart(ByteBuffer in) {
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] part = new byte[length];
        in.get(part);
        return part;
    }

    private static List<Segment> encode(Configuration configuration, Kind kind) {
        if (kind != Kind.CLIENT_BLOCK) {
            return SegmentCodec.encode(configuration.table(kind));
        }
        return configuration.blocks().segments().stream()
                .map(segment -> Segment.of(segment.digest(), segment.bytes()))
                .toList();
    }

    private static Either<Failure, Manifest> verifyManifest(RootPointer pointer, byte[] bytes) {
        if (!Digests.sha256(bytes).equals(pointer.digest())) {
            return Either.left(corrupt("manifest", "does not match its digest"));
        }
        return Manifest.decode(bytes)
                .filterOrElse(
                        m -> m.revision() == pointer.revision(),
                        m -> corrupt("manifest", "revision differs from the pointer"));
    }

    private static Either<Failure, Map<String, byte[]>> verifySegments(
            Manifest manifest, Function<String, Optional<byte[]>> segments) {
        Map<String, byte[]> found = new LinkedHashMap<>();
        for (String digest : manifest.digests()) {
            Optional<byte[]> bytes = segments.apply(digest);
            if (bytes.isEmpty()) {
                return Either.left(corrupt(digest, "segment is missing"));
            }
            if (!Digests.sha256(bytes.get()).equals(digest)) {
                return Either.left(corrupt(digest, "segment does not match its digest"));
            }
            found.put(digest, bytes.get());
        }
        return Either.right(found);
    }

    private static Either<Failure, Configuration> decode(Manifest manifest, Map<String, byte[]> segments) {
        List<Entity> items = new ArrayList<>();
        List<ClientBlockSegment> blocks = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (String digest : manifest.of(kind)) {
                byte[] bytes = segments.get(digest);
                Either<Failure, ?> decoded = kind == Kind.CLIENT_BLOCK
                        ? ClientBlockSegment.decode(bytes).peek(blocks::add)
                        : SegmentCodec.decode(kind, bytes).peek(items::addAll);
                if (decoded.isLeft()) {
                    return Either.left(decoded.getLeft());
                }
            }
        }
        return ClientBlockList.ofSegments(blocks).flatMap(list -> configuration(manifest, items, list));
    }

    private static Either<Failure, Configuration> configuration(
            Manifest manifest, List<Entity> items, ClientBlockList list) {
        try {
            return Either.right(Configuration.of(manifest.revision(), manifest.noteId(), items, list));
        } catch (IllegalArgumentException e) {
            return Either.left(corrupt("configuration", e.getMessage()));
        }
    }

    private static Failure corrupt(String subject, String detail) {
        return Failure.of(ErrorCode.STORE_CORRUPT, subject, detail);
    }
}
