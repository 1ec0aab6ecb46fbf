package org.arbutusfield.ctl;

import java.util.List;
import java.util.stream.Stream;
import org.arbutusfield.model.Kind;

/** Names of the item kinds on the command line. */
final class KindNames {
    /** All names, in the order of {@link Kind}. */
    static final List<String> ALL = Stream.of(Kind.values()).map(Kind::field).toList();

    private KindNames() {}
}
