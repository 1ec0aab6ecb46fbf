package org.arbutusfield.state;

import io.vavr.control.Either;
import java.util.Optional;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;

/**
 * What is known of one key: an item that has been decoded, its removal, or both if it was written and then removed.
 *
 * @param key key of the item
 * @param revision revision of its last change
 * @param createdRevision revision in which it was created
 * @param removed whether it was removed
 * @param content what it was decoded to, or why it can't be read; empty if nothing but its removal is known
 * @param configuration the item's value, if it is a configuration, which is passed on to other hosts as it was read
 */
record ReadItem(
        String key,
        long revision,
        long createdRevision,
        boolean removed,
        Optional<Either<Failure, StateItem>> content,
        Optional<Body> configuration) {

    /** The removal of an item of which nothing else is known. */
    static ReadItem removed(String key, long revision) {
        return new ReadItem(key, revision, revision, true, Optional.empty(), Optional.empty());
    }

    /** The same item, removed after it was written. */
    ReadItem thenRemoved() {
        return new ReadItem(key, revision, createdRevision, true, content, configuration);
    }
}
