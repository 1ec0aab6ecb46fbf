package org.arbutusfield.admission;

/**
 * What a slot in use is used for.
 *
 * @param upstream name of the server
 * @param requestClass name of the request's class
 */
public record SlotUse(String upstream, String requestClass) {}
