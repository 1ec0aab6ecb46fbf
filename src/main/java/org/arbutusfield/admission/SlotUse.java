package org.arbutusfield.admission;

/**
 * Server and request class of a slot in use.
 *
 * @param upstream name of the server
 * @param requestClass name of the request's class
 */
public record SlotUse(String upstream, String requestClass) {}
