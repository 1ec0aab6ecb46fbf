package org.arbutusfield.note;

import org.arbutusfield.model.Kind;

/**
 * Names one item of the running state.
 *
 * @param kind its table
 * @param key its key within the table
 */
public record EntityKey(Kind kind, String key) {}
