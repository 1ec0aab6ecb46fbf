package org.arbutusfield.distribution;

/** The difference between two accepted configurations. Immutable. */
final class RevisionDelta {
    private final RevisionId base;
    private final RevisionId target;
    private final int targetLength;
    private final byte[] delta;

    private RevisionDelta(RevisionId base, RevisionId target, int targetLength, byte[] delta) {
        this.base = base;
        this.target = target;
        this.targetLength = targetLength;
        this.delta = delta;
    }

    static RevisionDelta between(Snapshot base, Snapshot target) {
        byte[] delta = ContentDelta.encode(base.shared(), target.shared());
        return new RevisionDelta(base.revisionId(), target.revisionId(), target.length(), delta);
    }

    static RevisionDelta received(Snapshot base, Snapshot target, byte[] delta) {
        return new RevisionDelta(base.revisionId(), target.revisionId(), target.length(), delta);
    }

    RevisionId base() {
        return base;
    }

    RevisionId target() {
        return target;
    }

    int targetLength() {
        return targetLength;
    }

    int length() {
        return delta.length;
    }

    byte[] shared() {
        return delta;
    }
}
