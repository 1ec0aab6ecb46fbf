package org.arbutusfield.state;

import io.vavr.control.Either;
import org.arbutusfield.error.Failure;

/** Turns items of the store into typed ones. */
@FunctionalInterface
public interface ItemDecoder {
    /**
     * Decodes one item.
     *
     * @param key its key
     * @param value its content
     * @return the item, or {@code ITEM_UNREADABLE}
     */
    Either<Failure, StateItem> decode(String key, byte[] value);
}
