package org.arbutusfield.edge;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.stream.Stream;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.misc.DurationText;

/** Every option of an edge host's settings file: field, form and meaning. All are required. */
enum EdgeSetting {
    NAME("name", Form.TEXT, "unique name of this host"),
    REGION("region", Form.TEXT, "region this host stands in"),
    FAILURE_DOMAIN("failureDomain", Form.TEXT, "failure domain this host stands in"),
    CALLER_ADDRESS("callerAddress", Form.ADDRESS, "where callers connect"),
    READY_ADDRESS("readyAddress", Form.ADDRESS, "where the platform asks whether this host is ready"),
    LOOKUP_ADDRESS("lookupAddress", Form.ADDRESS, "where callers ask which hosts to use"),
    CONTROL_ADDRESS("controlAddress", Form.ADDRESS, "where other hosts connect"),
    METRICS_ADDRESS("metricsAddress", Form.ADDRESS, "where metrics are read"),
    STORE_ADDRESS("storeAddress", Form.ADDRESS, "the platform's store"),
    REGIONS("regions", Form.TEXTS_BY_NAME, "region of each failure domain"),
    MAX_DESCRIPTORS("maxDescriptors", Form.COUNT, "file descriptors that the process may open"),
    PROCESSOR_SHARE("processorShare", Form.FRACTION, "part of its cores that the process may use"),
    CORES("cores", Form.FRACTION, "cores of this host, in cores of usual speed"),
    LOOKUP_MAX_AGE("lookupMaxAge", Form.DURATION, "longest time that callers may cache a look-up answer"),
    STOP_LIMIT("stopLimit", Form.DURATION, "time from the signal to stop until the process is ended"),
    ROUTES_WITHIN("routesInForceWithin", Form.DURATION, "time in which new routes must be in force"),
    DRAINS_WITHIN("drainsInForceWithin", Form.DURATION, "time in which a leaving upstream must get no more requests"),
    RETRY_RATIO("retryRatio", Form.FRACTION, "repeated requests per request, over all hosts"),
    RETRY_WINDOW("retryWindow", Form.DURATION, "sliding time over which repeated requests are counted"),
    RETRY_SLACK("retrySlack", Form.COUNT, "repeated requests besides, over all hosts");

    private final String field;
    private final Form form;
    private final String meaning;

    EdgeSetting(String field, Form form, String meaning) {
        this.field = field;
        this.form = form;
        this.meaning = meaning;
    }

    /** The field of the settings file. */
    String field() {
        return field;
    }

    /** What the setting means. */
    String meaning() {
        return meaning;
    }

    /** What values are accepted, in words. */
    String accepted() {
        return form.words;
    }

    /** True when the value has the form. */
    boolean accepts(JsonNode value) {
        return form.accepts(value);
    }

    /** The setting with the field name, if there is one. */
    static Optional<EdgeSetting> ofField(String field) {
        return Stream.of(values()).filter(s -> s.field.equals(field)).findFirst();
    }

    /** The forms that a value can have. */
    private enum Form {
        TEXT("a text that is not empty"),
        ADDRESS("an IPv4 address and port"),
        DURATION("a number with the unit ms or s"),
        COUNT("a whole number from 0"),
        FRACTION("a number from 0"),
        TEXTS_BY_NAME("an object of texts");

        private final String words;

        Form(String words) {
            this.words = words;
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
