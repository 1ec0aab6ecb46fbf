package org.arbutusfield.admission;

/** A broker's message to the host that asked. */
public sealed interface SlotDecision permits SlotGrant, SlotRefusal, SlotPermit {

    /** The request concerned. */
    String requestId();

    /** The host to tell. */
    String host();
}
