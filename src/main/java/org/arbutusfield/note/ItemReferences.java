package org.arbutusfield.note;

import java.util.List;
import org.arbutusfield.model.ClientBlock;
import org.arbutusfield.model.Drain;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.FailureDomain;
import org.arbutusfield.model.Kind;
import org.arbutusfield.model.Link;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.ShiftCap;
import org.arbutusfield.model.Site;
import org.arbutusfield.model.Upstream;

/** Determines the items that an item refers to. */
final class ItemReferences {
    private ItemReferences() {}

    /**
     * A reference to another item.
     *
     * @param field the field that contains the reference
     * @param target the item referred to
     */
    record Reference(String field, EntityKey target) {}

    /**
     * Returns all references of an item. A drain of an entry host has none, because hosts are not declared in notes.
     */
    static List<Reference> of(Entity item) {
        if (item instanceof FailureDomain domain) {
            return List.of(region("region", domain.region()));
        }
        if (item instanceof Site site) {
            return List.of(to("failureDomain", Kind.FAILURE_DOMAIN, site.failureDomain()));
        }
        if (item instanceof Link link) {
            return List.of(region("from", link.from()), region("to", link.to()));
        }
        if (item instanceof Upstream upstream) {
            return List.of(
                    to("service", Kind.SERVICE, upstream.service()),
                    to("failureDomain", Kind.FAILURE_DOMAIN, upstream.failureDomain()));
        }
        if (item instanceof ShiftCap cap) {
            return List.of(
                    to("service", Kind.SERVICE, cap.service()), region("from", cap.from()), region("to", cap.to()));
        }
        if (item instanceof MoveRule rule) {
            return List.of(
                    to("service", Kind.SERVICE, rule.service()), region("from", rule.from()), region("to", rule.to()));
        }
        if (item instanceof ClientBlock block) {
            return List.of(to("site", Kind.SITE, block.site()));
        }
        return item instanceof Drain drain ? ofDrain(drain) : List.of();
    }

    private static List<Reference> ofDrain(Drain drain) {
        return switch (drain.target()) {
            case UPSTREAM -> List.of(to("name", Kind.UPSTREAM, drain.name()));
            case FAILURE_DOMAIN -> List.of(to("name", Kind.FAILURE_DOMAIN, drain.name()));
            case REGION -> List.of(region("name", drain.name()));
            case HOST -> List.of();
        };
    }

    private static Reference region(String field, String name) {
        return to(field, Kind.REGION, name);
    }

    private static Reference to(String field, Kind kind, String key) {
        return new Reference(field, new EntityKey(kind, key));
    }
}
