package org.arbutusfield.state;

import io.vavr.control.Either;
import org.arbutusfield.error.Failure;

/** Decodes items of the store. */
@FunctionalInterface
public interface ItemDecoder {
    /**
     * Decodes one item.
     *
     * @param key its key
     * @param value its value
     * @return the item, or {@code ITEM_UNREADABLE}
     */
    Either<Failure, StateItem> decode(String key, byte[] value);
}
