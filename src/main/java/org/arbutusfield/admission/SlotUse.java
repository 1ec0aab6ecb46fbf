package org.arbutusfield.admission;

/**
 * Upstream and request class of a slot in use.
 *
 * @param upstream name of the upstream
 * @param requestClass name of the request's class
 */
public record SlotUse(String upstream, String requestClass) {}
