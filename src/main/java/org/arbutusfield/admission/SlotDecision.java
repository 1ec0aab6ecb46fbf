package org.arbutusfield.admission;

/** A broker's message to the host that requested a slot. */
public sealed interface SlotDecision permits SlotGrant, SlotRefusal, SlotPermit {

    /** Id of the slot request. */
    String requestId();

    /** The host to be informed. */
    String host();
}
