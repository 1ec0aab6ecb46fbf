package org.arbutusfield.state;

import org.arbutusfield.http.Body;

/**
 * The operator's configuration as it stands in the store.
 *
 * @param version its version
 * @param key key of the item
 * @param value content of the item
 */
record ConfigurationItem(long version, String key, Body value) {}
