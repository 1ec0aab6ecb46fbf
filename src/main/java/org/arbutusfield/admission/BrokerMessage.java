package org.arbutusfield.admission;

/** A message from a host to a broker. */
public sealed interface BrokerMessage permits SlotRequest, SlotRelease, SlotTakeover, SlotCancel, HeldSlots {}
