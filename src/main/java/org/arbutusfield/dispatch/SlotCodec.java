package org.arbutusfield.dispatch;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.arbutusfield.admission.BrokerMessage;
import org.arbutusfield.admission.HeldSlots;
import org.arbutusfield.admission.Priority;
import org.arbutusfield.admission.SlotCancel;
import org.arbutusfield.admission.SlotDecision;
import org.arbutusfield.admission.SlotGrant;
import org.arbutusfield.admission.SlotPermit;
import org.arbutusfield.admission.SlotRefusal;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRequest;
import org.arbutusfield.admission.SlotTakeover;
import org.arbutusfield.admission.SlotToken;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.BrokerHeartbeat;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.HeldSlot;

/**
 * Encodes and decodes the control messages of admission. Decoding checks every field and fails with
 * {@code PEER_PROTOCOL}.
 */
final class SlotCodec {
    /** The index of a priority in this list is its number on the wire; append only. */
    private static final List<Priority> PRIORITIES =
            List.of(Priority.NON_REPEATABLE, Priority.INTERACTIVE, Priority.BACKGROUND);

    /** The index of an outcome in this list is its number on the wire; append only. */
    private static final List<SlotRelease.Outcome> OUTCOMES = List.of(
            SlotRelease.Outcome.COMPLETED,
            SlotRelease.Outcome.SHED,
            SlotRelease.Outcome.FAILED,
            SlotRelease.Outcome.CANCELLED);

    private SlotCodec() {}

    /**
     * A message from a host to a broker, with its addressing.
     *
     * @param group group of upstreams
     * @param host name of the sender
     * @param message the message
     */
    record ToBroker(String group, String host, BrokerMessage message) {}

    /** Encodes a message from a host to a broker. */
    static ControlMessage encode(String group, String host, BrokerMessage message) {
        if (message instanceof SlotRequest request) {
            return ControlMessage.slotRequest(request(group, request));
        }
        if (message instanceof SlotRelease release) {
            return ControlMessage.slotRelease(release(group, host, release));
        }
        if (message instanceof SlotTakeover takeover) {
            return ControlMessage.slotTakeover(new org.arbutusfield.wire.gen.SlotTakeover(
                    release(group, host, takeover.release()),
                    takeover.requestId(),
                    takeover.requestClass(),
                    takeover.remainingNanos()));
        }
        if (message instanceof HeldSlots held) {
            return ControlMessage.heldSlots(
                    new org.arbutusfield.wire.gen.HeldSlots(group, held.host(), held.hostIncarnation(), slots(held)));
        }
        String requestId = ((SlotCancel) message).requestId();
        return ControlMessage.slotCancel(new org.arbutusfield.wire.gen.SlotCancel(group, host, requestId));
    }

    /** Encodes a broker's decision. */
    static ControlMessage encode(String group, SlotDecision decision) {
        if (decision instanceof SlotGrant grant) {
            return ControlMessage.slotGrant(new org.arbutusfield.wire.gen.SlotGrant(
                    group, grant.requestId(), grant.upstream(), token(grant.token()), grant.validNanos()));
        }
        if (decision instanceof SlotPermit) {
            return ControlMessage.slotPermit(new org.arbutusfield.wire.gen.SlotPermit(group, decision.requestId()));
        }
        Failure failure = ((SlotRefusal) decision).failure();
        long retryMillis = failure.retryAfter().map(Duration::toMillis).orElse(-1L);
        return ControlMessage.slotRefusal(new org.arbutusfield.wire.gen.SlotRefusal(
                group, decision.requestId(), failure.code().name(), failure.subject(), failure.detail(), retryMillis));
    }

    /** Encodes a broker's heartbeat. */
    static ControlMessage heartbeat(String group, String broker, long epoch) {
        return ControlMessage.brokerHeartbeat(new BrokerHeartbeat(group, broker, epoch));
    }

    /** Decodes a message from a host to a broker. */
    static Either<Failure, ToBroker> decodeToBroker(ControlMessage message) {
        return switch (message.getSetField()) {
            case SLOT_REQUEST -> decode(message.getSlotRequest());
            case SLOT_RELEASE -> decode(message.getSlotRelease());
            case SLOT_TAKEOVER -> decode(message.getSlotTakeover());
            case SLOT_CANCEL -> decode(message.getSlotCancel());
            case HELD_SLOTS -> decode(message.getHeldSlots());
            default -> malformed("message to a broker");
        };
    }

    /** Decodes a broker's decision for this host. */
    static Either<Failure, SlotDecision> decodeDecision(String self, ControlMessage message) {
        if (message.isSetSlotPermit()) {
            String requestId = message.getSlotPermit().getRequestId();
            return requestId == null ? malformed("slot permit") : Either.right(new SlotPermit(requestId, self));
        }
        if (message.isSetSlotGrant()) {
            org.arbutusfield.wire.gen.SlotGrant grant = message.getSlotGrant();
            Optional<SlotToken> token = token(grant.getToken());
            if (token.isEmpty() || anyNull(grant.getGroup(), grant.getRequestId(), grant.getUpstream())) {
                return malformed("slot grant");
            }
            return Either.right(
                    new SlotGrant(grant.getRequestId(), self, grant.getUpstream(), token.get(), grant.getValidNanos()));
        }
        org.arbutusfield.wire.gen.SlotRefusal refusal = message.getSlotRefusal();
        Optional<ErrorCode> code = Stream.of(ErrorCode.values())
                .filter(c -> c.name().equals(refusal.getCode()))
                .findFirst();
        if (code.isEmpty() || anyNull(refusal.getGroup(), refusal.getRequestId())) {
            return malformed("slot refusal");
        }
        Failure failure = Failure.of(code.get(), refusal.getSubject(), refusal.getDetail());
        long retryMillis = refusal.getRetryAfterMillis();
        return Either.right(new SlotRefusal(
                refusal.getRequestId(),
                self,
                retryMillis < 0 ? failure : failure.withRetryAfter(Duration.ofMillis(retryMillis))));
    }

    private static Either<Failure, ToBroker> decode(org.arbutusfield.wire.gen.SlotRequest request) {
        int priority = request.getPriority();
        boolean incomplete = anyNull(
                request.getGroup(),
                request.getRequestId(),
                request.getHost(),
                request.getFailureDomain(),
                request.getServiceName(),
                request.getRequestClass());
        if (incomplete || priority < 0 || priority >= PRIORITIES.size()) {
            return malformed("slot request");
        }
        SlotRequest decoded = new SlotRequest(
                request.getRequestId(),
                request.getHost(),
                request.getHostIncarnation(),
                request.getFailureDomain(),
                request.getServiceName(),
                request.getRequestClass(),
                PRIORITIES.get(priority),
                request.getRemainingNanos());
        return Either.right(new ToBroker(request.getGroup(), request.getHost(), decoded));
    }

    private static Either<Failure, ToBroker> decode(org.arbutusfield.wire.gen.SlotRelease release) {
        Optional<SlotToken> token = token(release.getToken());
        int outcome = release.getOutcome();
        boolean incomplete = token.isEmpty() || anyNull(release.getGroup(), release.getHost());
        if (incomplete || outcome < 0 || outcome >= OUTCOMES.size() || release.getServiceNanos() < 0) {
            return malformed("slot release");
        }
        SlotRelease decoded = new SlotRelease(token.get(), OUTCOMES.get(outcome), release.getServiceNanos());
        return Either.right(new ToBroker(release.getGroup(), release.getHost(), decoded));
    }

    private static Either<Failure, ToBroker> decode(org.arbutusfield.wire.gen.SlotTakeover takeover) {
        if (takeover.getRelease() == null || anyNull(takeover.getRequestId(), takeover.getRequestClass())) {
            return malformed("slot takeover");
        }
        return decode(takeover.getRelease()).map(decodedRelease -> {
            SlotTakeover decoded = new SlotTakeover(
                    (SlotRelease) decodedRelease.message(),
                    takeover.getRequestId(),
                    takeover.getRequestClass(),
                    takeover.getRemainingNanos());
            return new ToBroker(decodedRelease.group(), decodedRelease.host(), decoded);
        });
    }

    private static Either<Failure, ToBroker> decode(org.arbutusfield.wire.gen.SlotCancel cancel) {
        if (anyNull(cancel.getGroup(), cancel.getHost(), cancel.getRequestId())) {
            return malformed("slot cancel");
        }
        return Either.right(new ToBroker(cancel.getGroup(), cancel.getHost(), new SlotCancel(cancel.getRequestId())));
    }

    private static Either<Failure, ToBroker> decode(org.arbutusfield.wire.gen.HeldSlots held) {
        if (anyNull(held.getGroup(), held.getHost()) || held.getHeld() == null) {
            return malformed("held slots");
        }
        List<HeldSlots.Held> slots = new ArrayList<>();
        for (HeldSlot slot : held.getHeld()) {
            Optional<SlotToken> token = token(slot.getToken());
            if (token.isEmpty() || anyNull(slot.getRequestId(), slot.getRequestClass(), slot.getUpstream())) {
                return malformed("held slots");
            }
            slots.add(new HeldSlots.Held(
                    token.get(),
                    slot.getRequestId(),
                    slot.getRequestClass(),
                    slot.getUpstream(),
                    slot.getRemainingNanos()));
        }
        return Either.right(new ToBroker(
                held.getGroup(), held.getHost(), new HeldSlots(held.getHost(), held.getHostIncarnation(), slots)));
    }

    private static org.arbutusfield.wire.gen.SlotRequest request(String group, SlotRequest request) {
        return new org.arbutusfield.wire.gen.SlotRequest(
                group,
                request.requestId(),
                request.host(),
                request.hostIncarnation(),
                request.failureDomain(),
                request.service(),
                request.requestClass(),
                PRIORITIES.indexOf(request.priority()),
                request.remainingNanos());
    }

    private static List<HeldSlot> slots(HeldSlots held) {
        return held.slots().stream()
                .map(s -> new HeldSlot(
                        token(s.token()), s.requestId(), s.requestClass(), s.upstream(), s.remainingNanos()))
                .toList();
    }

    private static org.arbutusfield.wire.gen.SlotRelease release(String group, String host, SlotRelease release) {
        return new org.arbutusfield.wire.gen.SlotRelease(
                group, host, token(release.token()), OUTCOMES.indexOf(release.outcome()), release.serviceNanos());
    }

    private static org.arbutusfield.wire.gen.SlotToken token(SlotToken token) {
        return new org.arbutusfield.wire.gen.SlotToken(token.broker(), token.epoch(), token.sequence());
    }

    private static Optional<SlotToken> token(org.arbutusfield.wire.gen.SlotToken token) {
        return token == null || token.getBroker() == null
                ? Optional.empty()
                : Optional.of(new SlotToken(token.getBroker(), token.getEpoch(), token.getSequence()));
    }

    private static boolean anyNull(String... fields) {
        return Stream.of(fields).anyMatch(field -> field == null);
    }

    private static <T> Either<Failure, T> malformed(String subject) {
        return Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, subject));
    }
}
