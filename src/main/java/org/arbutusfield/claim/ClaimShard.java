package org.arbutusfield.claim;

import io.vavr.control.Either;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * The claims of one shard of keys, and the rules by which they change. Immutable, without side effects.
 *
 * <p><b>Problem.</b> A caller that loses the response sends its request again with the same key, possibly through
 * another host, while the first host is running it, has run it, or is dead. A dead host cannot report what it did.
 *
 * <p><b>Idea.</b> Before a request runs, its key is claimed in the store by compare-and-swap of the shard. A claim ends
 * in one of three ways: it is removed if the request was certainly not run; it is completed with the status of the
 * first response; or its outcome is unknown, which also applies to a claim that its holder has not ended within the
 * maximum running time of a request.
 *
 * <p><b>Invariants.</b> A key is granted only while the shard has no unexpired claim for it, so at most once within the
 * window. A claim is changed only by the call that made it. It leaves the shard only if that call removes it or when it
 * expires; a full shard refuses new claims and never evicts existing ones. A running claim is granted again to the call
 * that made it, so that a write whose response was lost can be retried.
 *
 * <p><b>Example.</b> Host a claims k and dies. Within the run limit, host b refuses k because its request is in
 * progress; later it refuses k because the outcome is unknown; after the window, k can be claimed again.
 */
public final class ClaimShard {
    /** Maximum number of claims that fit into one value of the store. */
    public static final int MAX_CLAIMS = 30_000;

    private static final String SUBJECT = "claims";
    private static final int MAX_HOLDERS = 1000;
    private static final int MAX_HOLDER_BYTES = 100;
    private static final int CLAIM_BYTES =
            2 * Long.BYTES + 1 + Short.BYTES + Short.BYTES + Integer.BYTES + Integer.BYTES;
    private static final ClaimShard EMPTY = new ClaimShard(Map.of());

    private final Map<ClaimKey, Claim> claims;

    private ClaimShard(Map<ClaimKey, Claim> claims) {
        this.claims = claims;
    }

    /**
     * The result of a batch of changes.
     *
     * @param shard the claims after the changes
     * @param decisions one for each change, in order; changes other than {@code BEGIN} are always granted
     * @param changed whether the shard differs from the previous one
     */
    public record Result(ClaimShard shard, List<ClaimDecision> decisions, boolean changed) {
        /** Copies the list so that the result is immutable. */
        public Result {
            decisions = List.copyOf(decisions);
        }
    }

    /** Returns a shard without claims. */
    public static ClaimShard empty() {
        return EMPTY;
    }

    /** Number of claims, including expired ones that have not been dropped yet. */
    public int size() {
        return claims.size();
    }

    /** Returns the claim of a key. */
    public Optional<Claim> find(ClaimKey key) {
        return Optional.ofNullable(claims.get(key));
    }

    /**
     * Applies a batch of changes and drops expired claims.
     *
     * @param changes the changes in order
     * @param nowSeconds current time in seconds of the wall clock
     * @param settings window, run limit and maximum number of claims
     */
    public Result apply(List<ClaimChange> changes, long nowSeconds, ClaimSettings settings) {
        Map<ClaimKey, Claim> next = new LinkedHashMap<>(claims);
        boolean changed = next.values().removeIf(claim -> expired(claim, nowSeconds, settings));
        Set<String> holders = new HashSet<>();
        next.values().forEach(claim -> holders.add(claim.holder()));
        List<ClaimDecision> decisions = new ArrayList<>();
        for (ClaimChange change : changes) {
            Claim before = next.get(change.key());
            if (change.kind() == ClaimChange.Kind.BEGIN) {
                decisions.add(begin(next, holders, change, nowSeconds, settings));
            } else {
                finish(next, change);
                decisions.add(ClaimDecision.of(ClaimDecision.Kind.GRANTED));
            }
            changed |= !Objects.equals(before, next.get(change.key()));
        }
        return new Result(new ClaimShard(next), decisions, changed);
    }

    /** Encodes the claims; the result fits into one value of the store. */
    public byte[] encode() {
        Map<String, Integer> holders = new LinkedHashMap<>();
        claims.values().forEach(claim -> holders.putIfAbsent(claim.holder(), holders.size()));
        int holderBytes = holders.keySet().stream()
                .mapToInt(h -> Short.BYTES + h.length())
                .sum();
        ByteBuffer out = ByteBuffer.allocate(2 * Integer.BYTES + holderBytes + claims.size() * CLAIM_BYTES);
        out.putInt(holders.size());
        for (String holder : holders.keySet()) {
            byte[] name = holder.getBytes(StandardCharsets.US_ASCII);
            out.putShort((short) name.length).put(name);
        }
        out.putInt(claims.size());
        claims.forEach((key, claim) -> out.putLong(key.high())
                .putLong(key.low())
                .put(claim.state().code())
                .putShort((short) claim.status())
                .putShort(holders.get(claim.holder()).shortValue())
                .putInt(claim.sequence())
                .putInt((int) claim.claimedAtSeconds()));
        return out.array();
    }

    /** Decodes claims; fails with {@code STORE_CORRUPT}. */
    public static Either<Failure, ClaimShard> decode(byte[] bytes) {
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            List<String> holders = new ArrayList<>();
            int holderCount = checkRange(in.getInt(), Short.MAX_VALUE);
            for (int i = 0; i < holderCount; i++) {
                byte[] name = new byte[checkRange(in.getShort(), MAX_HOLDER_BYTES)];
                in.get(name);
                holders.add(new String(name, StandardCharsets.US_ASCII));
            }
            Map<ClaimKey, Claim> claims = new LinkedHashMap<>();
            int claimCount = checkRange(in.getInt(), bytes.length / CLAIM_BYTES);
            for (int i = 0; i < claimCount; i++) {
                claims.put(new ClaimKey(in.getLong(), in.getLong()), readClaim(in, holders));
            }
            return Either.right(new ClaimShard(claims));
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return Either.left(Failure.of(ErrorCode.STORE_CORRUPT, SUBJECT, e.toString()));
        }
    }

    private static Claim readClaim(ByteBuffer in, List<String> holders) {
        Claim.State state = Claim.State.ofCode(in.get());
        int status = in.getShort();
        String holder = holders.get(in.getShort());
        return new Claim(state, status, holder, in.getInt(), Integer.toUnsignedLong(in.getInt()));
    }

    private static int checkRange(int number, int max) {
        if (number < 0 || number > max) {
            throw new IndexOutOfBoundsException(number);
        }
        return number;
    }

    private static ClaimDecision begin(
            Map<ClaimKey, Claim> claims,
            Set<String> holders,
            ClaimChange change,
            long nowSeconds,
            ClaimSettings settings) {
        Claim claim = claims.get(change.key());
        if (claim != null) {
            return change.sameCall(claim) && claim.state() == Claim.State.RUNNING
                    ? ClaimDecision.of(ClaimDecision.Kind.GRANTED)
                    : decide(claim, nowSeconds, settings);
        }
        holders.add(change.holder());
        if (claims.size() >= settings.maxClaims() || holders.size() > MAX_HOLDERS) {
            return ClaimDecision.of(ClaimDecision.Kind.FULL);
        }
        claims.put(change.key(), new Claim(Claim.State.RUNNING, 0, change.holder(), change.sequence(), nowSeconds));
        return ClaimDecision.of(ClaimDecision.Kind.GRANTED);
    }

    private static ClaimDecision decide(Claim claim, long nowSeconds, ClaimSettings settings) {
        if (claim.state() == Claim.State.COMPLETED) {
            return new ClaimDecision(ClaimDecision.Kind.COMPLETED, claim.status());
        }
        boolean running = claim.state() == Claim.State.RUNNING
                && nowSeconds - claim.claimedAtSeconds() <= settings.runLimit().toSeconds();
        return ClaimDecision.of(running ? ClaimDecision.Kind.IN_PROGRESS : ClaimDecision.Kind.OUTCOME_UNKNOWN);
    }

    private static void finish(Map<ClaimKey, Claim> claims, ClaimChange change) {
        Claim claim = claims.get(change.key());
        if (claim == null || !change.sameCall(claim) || claim.state() != Claim.State.RUNNING) {
            return;
        }
        if (change.kind() == ClaimChange.Kind.REMOVE) {
            claims.remove(change.key());
            return;
        }
        Claim.State state = change.kind() == ClaimChange.Kind.COMPLETE ? Claim.State.COMPLETED : Claim.State.UNKNOWN;
        claims.put(
                change.key(),
                new Claim(state, change.status(), claim.holder(), claim.sequence(), claim.claimedAtSeconds()));
    }

    private static boolean expired(Claim claim, long nowSeconds, ClaimSettings settings) {
        return nowSeconds - claim.claimedAtSeconds() > settings.window().toSeconds();
    }
}
