package org.arbutusfield.edge;

import org.arbutusfield.follow.ItemDecoder;
import org.arbutusfield.proxy.WireNames;

/**
 * How the parties around an edge host speak.
 *
 * @param items items of the store
 * @param lookups look-up calls of callers
 * @param names header fields of requests and answers
 * @param readyPath path of the question whether the host is ready
 * @param lookupPath path of look-up calls
 */
public record EdgeFormats(
        ItemDecoder items, LookupFormat lookups, WireNames names, String readyPath, String lookupPath) {}
