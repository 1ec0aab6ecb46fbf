package org.arbutusfield.model;

import java.util.Optional;
import java.util.stream.Stream;

/** The kinds of items in a configuration, with their field name in release notes and their class. */
public enum Kind {
    REGION("regions", Region.class),
    FAILURE_DOMAIN("failureDomains", FailureDomain.class),
    SITE("sites", Site.class),
    LINK("links", Link.class),
    SERVICE("services", Service.class),
    UPSTREAM("upstreams", Upstream.class),
    SHIFT_CAP("caps", ShiftCap.class),
    MOVE_RULE("rules", MoveRule.class),
    DRAIN("drains", Drain.class),
    CLIENT_BLOCK("blocks", ClientBlock.class);

    private final String field;
    private final Class<? extends Entity> type;

    Kind(String field, Class<? extends Entity> type) {
        this.field = field;
        this.type = type;
    }

    /** The field of a release note that lists items of this kind. */
    public String field() {
        return field;
    }

    /** The class of the items. */
    public Class<? extends Entity> type() {
        return type;
    }

    /** Returns the kind with this field name, if there is one. */
    public static Optional<Kind> ofField(String field) {
        return Stream.of(values()).filter(kind -> kind.field.equals(field)).findFirst();
    }
}
