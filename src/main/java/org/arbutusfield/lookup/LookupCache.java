package org.arbutusfield.lookup;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.FailureDomain;
import org.arbutusfield.model.Service;

/**
 * Caches the look-up answers of one view as JSON bytes, each encoded on first use.
 *
 * <p>Thread-safe: two threads that miss at the same time encode equal bytes, and either result may be stored. A new
 * view needs a new cache.
 */
public final class LookupCache {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LookupView view;
    private final Map<String, AtomicReferenceArray<byte[]>> answers = new HashMap<>();

    private LookupCache(LookupView view) {
        this.view = view;
        for (Service service : view.configuration().items(Service.class)) {
            for (FailureDomain domain : view.configuration().items(FailureDomain.class)) {
                answers.put(
                        key(service.name(), domain.name()), new AtomicReferenceArray<>(2 * LookupPolicy.CALLER_GROUPS));
            }
        }
    }

    /** An empty cache for a view. */
    public static LookupCache of(LookupView view) {
        return new LookupCache(view);
    }

    /** The view from which the answers are computed. */
    public LookupView view() {
        return view;
    }

    /**
     * The answer for one caller as UTF-8 JSON. The array is shared: do not write to it.
     *
     * @param service the requested service
     * @param address the caller's IPv4 address as 32 bits
     * @param nowNanos monotonic time
     */
    public Either<Failure, byte[]> answer(String service, int address, long nowNanos) {
        String domain = view.nearestFailureDomain(address);
        int group = LookupPolicy.callerGroup(address);
        boolean stale = LookupPolicy.stale(view, nowNanos);
        AtomicReferenceArray<byte[]> encodedAnswers = answers.get(key(service, domain));
        int index = stale ? LookupPolicy.CALLER_GROUPS + group : group;
        byte[] cached = encodedAnswers == null ? null : encodedAnswers.get(index);
        if (cached != null) {
            return Either.right(cached);
        }
        Either<Failure, byte[]> encoded =
                LookupPolicy.answer(view, service, domain, group, stale).flatMap(LookupCache::toJson);
        if (encodedAnswers != null && encoded.isRight()) {
            encodedAnswers.set(index, encoded.get());
        }
        return encoded;
    }

    /** The answer as UTF-8 JSON. */
    public static Either<Failure, byte[]> toJson(LookupAnswer answer) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("service", answer.service()).put("maxAgeSeconds", answer.maxAgeSeconds());
        ArrayNode hosts = root.putArray("hosts");
        for (LookupAnswer.Entry entry : answer.entries()) {
            EntryHost host = entry.host();
            hosts.addObject()
                    .put("name", host.name())
                    .put("host", host.host())
                    .put("port", host.port())
                    .put("region", host.region())
                    .put("failureDomain", host.failureDomain())
                    .put("weight", entry.weight());
        }
        try {
            return Either.right(MAPPER.writeValueAsBytes(root));
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ErrorCode.INTERNAL, "lookup", e.getOriginalMessage()));
        }
    }

    private static String key(String service, String domain) {
        return service + "/" + domain;
    }
}
