package org.arbutusfield.note;

import org.arbutusfield.model.Kind;

/**
 * Identifies one item of a configuration.
 *
 * @param kind the kind of the item
 * @param key the key of the item within its kind
 */
public record EntityKey(Kind kind, String key) {}
