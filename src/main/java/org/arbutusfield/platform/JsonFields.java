package org.arbutusfield.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.arbutusfield.misc.DurationText;

/**
 * Typed access to the fields of one JSON object. A missing required field, or one of the wrong type, throws
 * {@link InvalidFieldException}.
 */
final class JsonFields {
    private final JsonNode node;

    private JsonFields(JsonNode node) {
        this.node = node;
    }

    static JsonFields of(JsonNode node) {
        if (node == null || !node.isObject()) {
            throw new InvalidFieldException("JSON object expected");
        }
        return new JsonFields(node);
    }

    JsonFields object(String name) {
        return of(node.get(name));
    }

    List<JsonFields> objects(String name) {
        List<JsonFields> list = new ArrayList<>();
        required(name, node.path(name).isArray()).forEach(element -> list.add(of(element)));
        return list;
    }

    List<String> strings(String name) {
        List<String> strings = new ArrayList<>();
        node.path(name).forEach(element -> strings.add(element.asText()));
        return strings;
    }

    String string(String name) {
        return required(name, node.path(name).isTextual()).asText();
    }

    Optional<String> optionalString(String name) {
        return Optional.of(node.path(name)).filter(JsonNode::isTextual).map(JsonNode::asText);
    }

    /** Returns the elements of a list of texts; empty if the field is missing. */
    List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        if (!absent(name)) {
            required(name, node.path(name).isArray()).forEach(element -> {
                required(name, element.isTextual());
                texts.add(element.textValue());
            });
        }
        return texts;
    }

    /** Returns the objects of a list; empty if the field is missing. */
    List<JsonFields> optionalObjects(String name) {
        return absent(name) ? List.of() : objects(name);
    }

    /** Returns a number that isn't negative; 0 if the field is missing. */
    double amountOrZero(String name) {
        if (absent(name)) {
            return 0;
        }
        double amount = required(name, node.path(name).isNumber()).asDouble();
        required(name, Double.isFinite(amount) && amount >= 0);
        return amount;
    }

    /** Returns a whole number that isn't negative, if the field is there. */
    OptionalInt optionalRank(String name) {
        if (absent(name)) {
            return OptionalInt.empty();
        }
        JsonNode rank = node.path(name);
        boolean valid = rank.isIntegralNumber() && rank.canConvertToInt() && rank.asInt() >= 0;
        return OptionalInt.of(required(name, valid).asInt());
    }

    /** Returns true only for the literal {@code true}. */
    boolean isTrue(String name) {
        return node.path(name).isBoolean() && node.path(name).booleanValue();
    }

    private boolean absent(String name) {
        return !node.hasNonNull(name);
    }

    boolean flag(String name) {
        return node.path(name).asBoolean(false);
    }

    long longValue(String name) {
        return required(
                        name,
                        node.path(name).isIntegralNumber() && node.path(name).canConvertToLong())
                .asLong();
    }

    long longOrZero(String name) {
        return node.has(name) ? longValue(name) : 0;
    }

    int positiveInt(String name) {
        return required(
                        name,
                        node.path(name).canConvertToInt()
                                && node.path(name).isIntegralNumber()
                                && node.path(name).asInt() > 0)
                .asInt();
    }

    double doubleOrZero(String name) {
        return node.path(name).asDouble(0);
    }

    Duration duration(String name) {
        return DurationText.parse(string(name)).orElseThrow(() -> new InvalidFieldException(name));
    }

    Optional<Duration> optionalDuration(String name) {
        return optionalString(name).flatMap(DurationText::parse);
    }

    private JsonNode required(String name, boolean present) {
        if (!present) {
            throw new InvalidFieldException(name);
        }
        return node.get(name);
    }
}
