package org.arbutusfield.ctl;

import java.util.List;
import java.util.stream.Stream;
import org.arbutusfield.model.Kind;

/** The names of the kinds of item as operators type them. */
final class KindNames {
    /** All names, in the order of the kinds. */
    static final List<String> ALL = Stream.of(Kind.values()).map(Kind::field).toList();

    private KindNames() {}
}
