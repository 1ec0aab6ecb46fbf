package org.arbutusfield.edge;

import org.arbutusfield.proxy.HeaderNames;
import org.arbutusfield.state.ItemDecoder;

/**
 * The formats in which an edge host exchanges data with callers, upstreams, the store and the platform.
 *
 * @param itemDecoder decodes items of the store
 * @param lookupCodec reads and writes look-ups
 * @param headerNames names of header fields in requests and responses
 * @param readyPath path of the readiness check
 * @param lookupPath path of look-ups
 */
public record EdgeProtocol(
        ItemDecoder itemDecoder,
        LookupCodec lookupCodec,
        HeaderNames headerNames,
        String readyPath,
        String lookupPath) {}
