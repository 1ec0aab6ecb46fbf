package org.arbutusfield.note;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.ShiftCap;
import org.arbutusfield.model.Upstream;

/**
 * Checks the configuration that results from a note: dangling references, upstreams with the same address, shift caps
 * without a link, and drains that leave callers without an upstream.
 */
final class NoteValidator {
    private final Configuration current;
    private final Configuration next;
    private final ReleaseNote note;
    private final NotePaths paths;
    private final ValidationFailures failures;

    private NoteValidator(
            Configuration current, Configuration next, ReleaseNote note, NotePaths paths, ValidationFailures failures) {
        this.current = current;
        this.next = next;
        this.note = note;
        this.paths = paths;
        this.failures = failures;
    }

    /** Adds every failure of the next configuration. The check of drains is skipped when the note is forced. */
    static void check(
            Configuration current, Configuration next, ReleaseNote note, NotePaths paths, ValidationFailures failures) {
        NoteValidator validator = new NoteValidator(current, next, note, paths, failures);
        validator.checkReferences();
        validator.checkBlocks();
        validator.checkAddresses();
        validator.checkCaps();
        if (!note.force()) {
            validator.checkDrains();
        }
    }

    private void checkReferences() {
        for (Kind kind : Kind.values()) {
            if (kind == Kind.CLIENT_BLOCK) {
                continue;
            }
            for (Entity item : next.table(kind).values()) {
                ItemReferences.of(item).forEach(reference -> checkReference(item, reference));
            }
        }
    }

    private void checkReference(Entity item, ItemReferences.Reference reference) {
        EntityKey target = reference.target();
        if (next.table(target.kind()).containsKey(target.key())) {
            return;
        }
        EntityKey key = NotePaths.keyOf(item);
        String path = paths.find(key).map(p -> p + "/" + reference.field()).orElseGet(() -> paths.of(target));
        String detail = describe(key) + " refers to " + describe(target) + ", which does not exist";
        failures.add(Failure.of(ErrorCode.NOTE_DANGLING_REFERENCE, path, detail));
    }

    private void checkBlocks() {
        Set<String> sites = next.table(Kind.SITE).keySet();
        for (List<Entity> section : List.of(note.added(), note.changed())) {
            for (Entity item : section) {
                if (item.kind() == Kind.CLIENT_BLOCK) {
                    ItemReferences.of(item).forEach(reference -> checkReference(item, reference));
                }
            }
        }
        Set<String> sitesInNote = blockSitesOfNote();
        for (String site : next.blocks().sites()) {
            if (!sites.contains(site) && !sitesInNote.contains(site)) {
                EntityKey key = new EntityKey(Kind.SITE, site);
                failures.add(Failure.of(
                        ErrorCode.NOTE_DANGLING_REFERENCE, paths.of(key), "client blocks refer to " + describe(key)));
            }
        }
    }

    private Set<String> blockSitesOfNote() {
        Set<String> sites = new HashSet<>();
        for (List<Entity> section : List.of(note.added(), note.changed())) {
            for (Entity item : section) {
                if (item.kind() == Kind.CLIENT_BLOCK) {
                    ItemReferences.of(item)
                            .forEach(reference -> sites.add(reference.target().key()));
                }
            }
        }
        return sites;
    }

    private void checkAddresses() {
        Map<String, Upstream> byAddress = new HashMap<>();
        for (Upstream upstream : next.items(Upstream.class)) {
            Upstream other = byAddress.putIfAbsent(upstream.host() + " " + upstream.port(), upstream);
            if (other == null) {
                continue;
            }
            String path = paths.find(NotePaths.keyOf(upstream)).orElseGet(() -> paths.of(NotePaths.keyOf(other)));
            failures.add(Failure.of(
                    ErrorCode.NOTE_DUPLICATE,
                    path + "/port",
                    upstream.name() + " and " + other.name() + " have the same address and port"));
        }
    }

    private void checkCaps() {
        for (ShiftCap cap : next.items(ShiftCap.class)) {
            EntityKey link = new EntityKey(Kind.LINK, cap.from() + ">" + cap.to());
            boolean allowsShifts = cap.maxShare() > 0 && cap.maxPerInterval() > 0;
            if (!allowsShifts
                    || cap.from().equals(cap.to())
                    || next.table(Kind.LINK).containsKey(link.key())) {
                continue;
            }
            String path = paths.find(NotePaths.keyOf(cap)).orElseGet(() -> paths.of(link));
            failures.add(Failure.of(
                    ErrorCode.NOTE_CAP_INFEASIBLE,
                    path,
                    cap.key() + " allows shifts, but there is no " + describe(link)));
        }
    }

    private void checkDrains() {
        for (Service service : next.items(Service.class)) {
            Set<String> before = availableRegions(current, service.name());
            Set<String> after = availableRegions(next, service.name());
            for (String region : before) {
                if (!after.contains(region)
                        && hasUpstreams(service.name(), region)
                        && !hasRuleToAvailableRegion(service, region, after)) {
                    failures.add(
                            Failure.of(
                                    ErrorCode.NOTE_DRAIN_LEAVES_NONE,
                                    "/services/" + service.name() + "/regions/" + region,
                                    "all upstreams are drained and no movement rule leads to a region with an available upstream"));
                }
            }
        }
    }

    private boolean hasRuleToAvailableRegion(Service service, String region, Set<String> availableRegions) {
        for (MoveRule rule : next.items(MoveRule.class)) {
            if (rule.service().equals(service.name())
                    && rule.from().equals(region)
                    && availableRegions.contains(rule.to())) {
                return true;
            }
        }
        return false;
    }

    private boolean hasUpstreams(String service, String region) {
        return next.upstreams(service).stream()
                .anyMatch(u -> next.regionOf(u).filter(region::equals).isPresent());
    }

    private static Set<String> availableRegions(Configuration state, String service) {
        Set<String> regions = new TreeSet<>();
        for (Upstream upstream : state.upstreams(service)) {
            if (!state.drained(upstream)) {
                state.regionOf(upstream).ifPresent(regions::add);
            }
        }
        return regions;
    }

    private static String describe(EntityKey key) {
        return key.kind().field() + " " + key.key();
    }
}
