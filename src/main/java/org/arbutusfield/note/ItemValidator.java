package org.arbutusfield.note;

import io.netty.util.NetUtil;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.Ipv4Block;
import org.arbutusfield.model.ClientBlock;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Link;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.Objective;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.ShiftCap;
import org.arbutusfield.model.Upstream;

/** Checks on a single item that the JSON schema cannot express. */
final class ItemValidator {
    private ItemValidator() {}

    /**
     * Checks one item.
     *
     * @param item the item
     * @param path JSON pointer to the item in the note
     * @param failures receives the failures
     */
    static void check(Entity item, String path, ValidationFailures failures) {
        if (item instanceof Service service) {
            checkClasses(service.classes(), path + "/classes", failures);
            checkObjectives(service, path + "/objectives", failures);
            if (service.latencyWeight() + service.headroomWeight() <= 0) {
                add(failures, ErrorCode.NOTE_SCHEMA, path + "/latencyWeight", "both weights are zero");
            }
        } else if (item instanceof ClientBlock block) {
            Ipv4Block.parse(block.prefix())
                    .peekLeft(f -> add(failures, ErrorCode.NOTE_SCHEMA, path + "/prefix", f.detail()));
        } else if (item instanceof Upstream upstream) {
            checkUpstream(upstream, path, failures);
        } else if (item instanceof Link link && link.from().equals(link.to())) {
            add(failures, ErrorCode.NOTE_SCHEMA, path + "/to", "a link must join two different regions");
        } else if (item instanceof MoveRule rule && rule.from().equals(rule.to())) {
            add(
                    failures,
                    ErrorCode.NOTE_RULE_CYCLE,
                    path + "/to",
                    "a movement rule must move callers to another region");
        } else if (item instanceof ShiftCap cap && cap.from().equals(cap.to())) {
            add(failures, ErrorCode.NOTE_CAP_INFEASIBLE, path + "/to", "a cap must limit shifts to another region");
        }
    }

    private static void checkClasses(List<RequestClass> classes, String path, ValidationFailures failures) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            if (!names.add(classes.get(i).name())) {
                add(
                        failures,
                        ErrorCode.NOTE_DUPLICATE,
                        path + "/" + i + "/name",
                        classes.get(i).name());
            }
        }
        RequestClass last = classes.get(classes.size() - 1);
        if (!last.methods().isEmpty() || !last.pathPrefix().isEmpty()) {
            add(failures, ErrorCode.NOTE_SCHEMA, path, "the last request class must match every request");
        }
    }

    private static void checkObjectives(Service service, String path, ValidationFailures failures) {
        Set<String> classes = service.classes().stream().map(RequestClass::name).collect(Collectors.toSet());
        Set<String> coveredClasses = new HashSet<>();
        for (int i = 0; i < service.objectives().size(); i++) {
            Objective objective = service.objectives().get(i);
            String field = path + "/" + i + "/requestClass";
            if (!classes.contains(objective.requestClass())) {
                add(failures, ErrorCode.NOTE_DANGLING_REFERENCE, field, "no request class " + objective.requestClass());
            }
            if (!coveredClasses.add(objective.requestClass())) {
                add(failures, ErrorCode.NOTE_DUPLICATE, field, objective.requestClass());
            }
        }
    }

    private static void checkUpstream(Upstream upstream, String path, ValidationFailures failures) {
        if (!NetUtil.isValidIpV4Address(upstream.host()) && !NetUtil.isValidIpV6Address(upstream.host())) {
            add(failures, ErrorCode.NOTE_SCHEMA, path + "/host", "not an IP address");
        }
        if (upstream.connections() < upstream.slots()) {
            add(failures, ErrorCode.NOTE_SCHEMA, path + "/connections", "fewer connections than slots");
        }
    }

    private static void add(ValidationFailures failures, ErrorCode code, String path, String detail) {
        failures.add(Failure.of(code, path, detail));
    }
}
