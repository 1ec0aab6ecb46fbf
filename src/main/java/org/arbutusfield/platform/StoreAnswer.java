package org.arbutusfield.platform;

import java.util.List;
import org.arbutusfield.http.Header;

/**
 * What the store's answer to a list or a watch says beside its items.
 *
 * @param status status of the response
 * @param headers fields of the response
 * @param hasMore whether another page follows
 * @param at revision of the answer; 0 unless the status is 200
 */
record StoreAnswer(int status, List<Header> headers, boolean hasMore, long at) {}
