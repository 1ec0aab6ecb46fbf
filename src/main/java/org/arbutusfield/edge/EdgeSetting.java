package org.arbutusfield.edge;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.stream.Stream;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.misc.DurationText;

/** Every option of an edge host's settings file: field, form and meaning. All are required. */
enum EdgeSetting {
    NAME("name", ValueType.TEXT, "unique name of this host"),
    REGION("region", ValueType.TEXT, "region this host stands in"),
    FAILURE_DOMAIN("failureDomain", ValueType.TEXT, "failure domain this host stands in"),
    CALLER_ADDRESS("callerAddress", ValueType.ADDRESS, "where callers connect"),
    READY_ADDRESS("readyAddress", ValueType.ADDRESS, "where the platform asks whether this host is ready"),
    LOOKUP_ADDRESS("lookupAddress", ValueType.ADDRESS, "where callers ask which hosts to use"),
    CONTROL_ADDRESS("controlAddress", ValueType.ADDRESS, "where other hosts connect"),
    METRICS_ADDRESS("metricsAddress", ValueType.ADDRESS, "where metrics are read"),
    STORE_ADDRESS("storeAddress", ValueType.ADDRESS, "the platform's store"),
    REGIONS("regions", ValueType.TEXTS_BY_NAME, "region of each failure domain"),
    MAX_DESCRIPTORS("maxDescriptors", ValueType.COUNT, "file descriptors that the process may open"),
    PROCESSOR_SHARE("processorShare", ValueType.FRACTION, "part of its cores that the process may use"),
    CORES("cores", ValueType.FRACTION, "cores of this host, in cores of usual speed"),
    LOOKUP_MAX_AGE("lookupMaxAge", ValueType.DURATION, "longest time that callers may cache a look-up answer"),
    STOP_LIMIT("stopLimit", ValueType.DURATION, "time from the signal to stop until the process is ended"),
    ROUTES_IN_FORCE_WITHIN("routesInForceWithin", ValueType.DURATION, "time in which new routes must be in force"),
    DRAINS_IN_FORCE_WITHIN(
            "drainsInForceWithin", ValueType.DURATION, "time in which a leaving upstream must get no more requests"),
    RETRY_RATIO("retryRatio", ValueType.FRACTION, "repeated requests per request, over all hosts"),
    RETRY_WINDOW("retryWindow", ValueType.DURATION, "sliding time over which repeated requests are counted"),
    RETRY_SLACK("retrySlack", ValueType.COUNT, "repeated requests besides, over all hosts");

    private final String field;
    private final ValueType valueType;
    private final String description;

    EdgeSetting(String field, ValueType valueType, String description) {
        this.field = field;
        this.valueType = valueType;
        this.description = description;
    }

    /** The field of the settings file. */
    String field() {
        return field;
    }

    /** What the setting means. */
    String description() {
        return description;
    }

    /** What values are accepted, in words. */
    String expected() {
        return valueType.description;
    }

    /** True when the value has the form. */
    boolean accepts(JsonNode value) {
        return valueType.accepts(value);
    }

    /** The setting with the field name, if there is one. */
    static Optional<EdgeSetting> ofField(String field) {
        return Stream.of(values()).filter(s -> s.field.equals(field)).findFirst();
    }

    /** The forms that a value can have. */
    private enum ValueType {
        TEXT("a text that is not empty"),
        ADDRESS("an IPv4 address and port"),
        DURATION("a number with the unit ms or s"),
        COUNT("a whole number from 0"),
        FRACTION("a number from 0"),
        TEXTS_BY_NAME("an object of texts");

        private final String description;

        ValueType(String description) {
            this.description = description;
        }

        private boolean accepts(JsonNode value) {
            return switch (this) {
                case TEXT -> value.isTextual() && !value.asText().isEmpty();
                case ADDRESS ->
                    value.isTextual() && Addresses.parse(value.asText()).isPresent();
                case DURATION ->
                    value.isTextual() && DurationText.parse(value.asText()).isPresent();
                case COUNT -> value.canConvertToInt() && value.isIntegralNumber() && value.asInt() >= 0;
                case FRACTION -> value.isNumber() && value.asDouble() >= 0;
                case TEXTS_BY_NAME -> value.isObject();
            };
        }
    }
}
