package org.arbutusfield.admission;

/** A broker's message to the host that asked. */
public sealed interface SlotDecision permits SlotGrant, SlotRefusal {

    /** The request that was decided. */
    String requestId();

    /** The host to tell. */
    String host();
}
