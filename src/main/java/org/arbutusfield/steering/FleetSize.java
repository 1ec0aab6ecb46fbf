package org.arbutusfield.steering;

import java.util.function.IntSupplier;

/**
 * The number of hosts among which a limit on all of them together is divided: the largest number that this host has
 * seen. A host that is cut off, or that sees the others register again, knows fewer hosts than there are.
 *
 * <p>Not thread-safe; must be used from one thread.
 */
public final class FleetSize {
    private final IntSupplier knownHosts;
    private int largest;

    private FleetSize(IntSupplier knownHosts, int minHosts) {
        this.knownHosts = knownHosts;
        this.largest = minHosts;
    }

    /**
     * Creates an instance.
     *
     * @param knownHosts supplies the number of hosts that this host knows
     * @param minHosts number to assume until this host has seen more
     */
    public static FleetSize of(IntSupplier knownHosts, int minHosts) {
        return new FleetSize(knownHosts, Math.max(1, minHosts));
    }

    /** Takes the hosts that are known now into account. */
    public void update() {
        largest = Math.max(largest, knownHosts.getAsInt());
    }

    /** Returns the largest number of hosts seen, up to now. */
    public int largest() {
        update();
        return largest;
    }
}
