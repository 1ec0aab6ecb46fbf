package org.arbutusfield.edge;

import org.arbutusfield.proxy.HeaderNames;
import org.arbutusfield.state.ItemDecoder;

/**
 * How the parties around an edge host speak.
 *
 * @param itemDecoder items of the store
 * @param lookupCodec look-up calls of callers
 * @param wireNames header fields of requests and answers
 * @param readyPath path of the question whether the host is ready
 * @param lookupPath path of look-up calls
 */
public record EdgeProtocol(
        ItemDecoder itemDecoder, LookupCodec lookupCodec, HeaderNames wireNames, String readyPath, String lookupPath) {}
