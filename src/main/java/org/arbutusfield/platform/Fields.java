package org.arbutusfield.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.misc.DurationText;

/** The typed fields of one JSON object; a missing or misplaced one is a {@link MisreadException}. */
final class Fields {
    private final JsonNode node;

    private Fields(JsonNode node) {
        this.node = node;
    }

    static Fields of(JsonNode node) {
        if (node == null || !node.isObject()) {
            throw new MisreadException("object");
        }
        return new Fields(node);
    }

    Fields object(String name) {
        return of(node.get(name));
    }

    List<Fields> list(String name) {
        List<Fields> list = new ArrayList<>();
        required(name, node.path(name).isArray()).forEach(element -> list.add(of(element)));
        return list;
    }

    List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        node.path(name).forEach(element -> texts.add(element.asText()));
        return texts;
    }

    String text(String name) {
        return required(name, node.path(name).isTextual()).asText();
    }

    Optional<String> optionalText(String name) {
        return Optional.of(node.path(name)).filter(JsonNode::isTextual).map(JsonNode::asText);
    }

    boolean flag(String name) {
        return node.path(name).asBoolean(false);
    }

    long whole(String name) {
        return required(
                        name,
                        node.path(name).isIntegralNumber() && node.path(name).canConvertToLong())
                .asLong();
    }

    long optionalWhole(String name) {
        return node.has(name) ? whole(name) : 0;
    }

    int positive(String name) {
        return required(
                        name,
                        node.path(name).canConvertToInt()
                                && node.path(name).isIntegralNumber()
                                && node.path(name).asInt() > 0)
                .asInt();
    }

    double number(String name) {
        return node.path(name).asDouble(0);
    }

    Duration duration(String name) {
        return DurationText.parse(text(name)).orElseThrow(() -> new MisreadException(name));
    }

    Optional<Duration> optionalDuration(String name) {
        return optionalText(name).flatMap(DurationText::parse);
    }

    private JsonNode required(String name, boolean present) {
        if (!present) {
            throw new MisreadException(name);
        }
        return node.get(name);
    }
}
