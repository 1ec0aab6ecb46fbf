package org.arbutusfield.spread;

/** The difference between two accepted configurations. Immutable. */
final class DeltaStep {
    private final RootPointer base;
    private final RootPointer target;
    private final int targetLength;
    private final byte[] delta;

    private DeltaStep(RootPointer base, RootPointer target, int targetLength, byte[] delta) {
        this.base = base;
        this.target = target;
        this.targetLength = targetLength;
        this.delta = delta;
    }

    static DeltaStep between(Snapshot base, Snapshot target) {
        byte[] delta = ContentDelta.encode(base.shared(), target.shared());
        return new DeltaStep(base.root(), target.root(), target.length(), delta);
    }

    static DeltaStep received(Snapshot base, Snapshot target, byte[] delta) {
        return new DeltaStep(base.root(), target.root(), target.length(), delta);
    }

    RootPointer base() {
        return base;
    }

    RootPointer target() {
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
