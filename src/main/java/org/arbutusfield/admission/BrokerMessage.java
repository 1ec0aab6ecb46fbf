package org.arbutusfield.admission;

/** A host's message to a broker. */
public sealed interface BrokerMessage permits SlotRequest, SlotRelease, SlotTakeover, SlotCancel, HeldSlots {}
