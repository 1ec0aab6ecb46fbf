package org.arbutusfield.edge;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.stream.Stream;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.misc.DurationText;

/**
 * All settings in an edge host's settings file, with field, type and description. All are required but those marked
 * optional.
 */
enum EdgeSetting {
    NAME("name", ValueType.STRING, "unique name of this host"),
    REGION("region", ValueType.STRING, "region of this host"),
    FAILURE_DOMAIN("failureDomain", ValueType.STRING, "failure domain of this host"),
    CALLER_ADDRESS("callerAddress", ValueType.ADDRESS, "address where callers connect"),
    READY_ADDRESS("readyAddress", ValueType.ADDRESS, "address where the platform checks whether this host is ready"),
    LOOKUP_ADDRESS("lookupAddress", ValueType.ADDRESS, "address where callers look up the hosts to use"),
    CONTROL_ADDRESS("controlAddress", ValueType.ADDRESS, "address where other hosts connect"),
    METRICS_ADDRESS("metricsAddress", ValueType.ADDRESS, "address where metrics are read"),
    STORE_ADDRESS("storeAddress", ValueType.ADDRESS, "address of the platform's store"),
    REGIONS("regions", ValueType.STRINGS_BY_NAME, "region of each failure domain"),
    MAX_DESCRIPTORS("maxDescriptors", ValueType.COUNT, "number of file descriptors that the process may open"),
    PROCESSOR_SHARE("processorShare", ValueType.FRACTION, "fraction of its cores that the process may use"),
    CORES("cores", ValueType.FRACTION, "number of cores of this host, in cores of standard speed"),
    LOOKUP_MAX_AGE("lookupMaxAge", ValueType.DURATION, "maximum time that callers may cache a look-up response"),
    STOP_LIMIT("stopLimit", ValueType.DURATION, "time from the signal to stop until the process is killed"),
    ROUTES_IN_FORCE_WITHIN("routesInForceWithin", ValueType.DURATION, "time within which new routes must be in force"),
    DRAINS_IN_FORCE_WITHIN(
            "drainsInForceWithin",
            ValueType.DURATION,
            "time within which a leaving upstream must get no more requests"),
    RETRY_RATIO("retryRatio", ValueType.FRACTION, "retried requests per request, over all hosts"),
    RETRY_WINDOW("retryWindow", ValueType.DURATION, "sliding window over which retried requests are counted"),
    RETRY_SLACK(
            "retrySlack",
            ValueType.FRACTION,
            "retried requests in addition to the ratio, over all hosts; a fraction is dropped"),
    TEAM_LIMIT_WINDOW(
            "teamLimitWindow", ValueType.DURATION, "window of the tolerance beyond the limits of teams", false),
    TEAM_LIMIT_OVER(
            "teamLimitOver", ValueType.FRACTION, "tolerance beyond the limit of a team, as a fraction of it", false),
    TEAM_LIMIT_SLACK(
            "teamLimitSlack",
            ValueType.FRACTION,
            "tolerance beyond the limit of a team in a window, in requests in addition to the fraction",
            false);

    private final String field;
    private final ValueType valueType;
    private final String description;
    private final boolean required;

    EdgeSetting(String field, ValueType valueType, String description) {
        this(field, valueType, description, true);
    }

    EdgeSetting(String field, ValueType valueType, String description, boolean required) {
        this.field = field;
        this.valueType = valueType;
        this.description = description;
        this.required = required;
    }

    /** Returns false if the field may be missing. */
    boolean required() {
        return required;
    }

    /** Returns the field in the settings file. */
    String field() {
        return field;
    }

    /** Returns what the setting means. */
    String description() {
        return description;
    }

    /** Returns a description of the accepted values. */
    String expected() {
        return valueType.description;
    }

    /** Returns true when the value has the accepted type. */
    boolean accepts(JsonNode value) {
        return valueType.accepts(value);
    }

    /** Returns the setting of a field, if there is one. */
    static Optional<EdgeSetting> ofField(String field) {
        return Stream.of(values()).filter(s -> s.field.equals(field)).findFirst();
    }

    /** Types of values. */
    private enum ValueType {
        STRING("a non-empty string"),
        ADDRESS("an IPv4 address and port"),
        DURATION("a number with the unit ms or s"),
        COUNT("a whole number from 0 upwards"),
        FRACTION("a number from 0 upwards"),
        STRINGS_BY_NAME("an object with string values");

        private final String description;

        ValueType(String description) {
            this.description = description;
        }

        private boolean accepts(JsonNode value) {
            return switch (this) {
                case STRING -> value.isTextual() && !value.asText().isEmpty();
                case ADDRESS ->
                    value.isTextual() && Addresses.parse(value.asText()).isPresent();
                case DURATION ->
                    value.isTextual() && DurationText.parse(value.asText()).isPresent();
                case COUNT -> value.canConvertToInt() && value.isIntegralNumber() && value.asInt() >= 0;
                case FRACTION -> value.isNumber() && value.asDouble() >= 0;
                case STRINGS_BY_NAME -> value.isObject();
            };
        }
    }
}
