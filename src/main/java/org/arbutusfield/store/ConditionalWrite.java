package org.arbutusfield.store;

/**
 * The result of a write that has a condition on the revision of the item.
 *
 * @param written whether the condition held and the value was written
 * @param revision revision of the write or, if it was not written, of the item that is there; number 0 if there is none
 */
public record ConditionalWrite(boolean written, StoreRevision revision) {}
