package org.arbutusfield.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * All settings of the settings file: field name, type, default, range and description. Field names include the unit, if
 * any.
 */
public enum Setting {
    NAME("name", SettingType.NAME, "", "unique name of this host"),
    REGION("region", SettingType.NAME, "", "region of this host"),
    FAILURE_DOMAIN("failureDomain", SettingType.NAME, "", "failure domain of this host"),
    ADDRESS("address", SettingType.IP_ADDRESS, "", "address for callers and other hosts"),
    CALLER_PORT("callerPort", SettingType.PORT, "", "port for callers"),
    CONTROL_PORT("controlPort", SettingType.PORT, "", "port for other hosts"),
    ADMIN_ADDRESS("adminAddress", SettingType.IP_ADDRESS, "127.0.0.1", "address of the admin port"),
    ADMIN_PORT("adminPort", SettingType.PORT, "", "port for operators and the platform"),
    OPERATOR_TOKEN_FILE(
            "operatorTokenFile", SettingType.PATH, "", "file with the token for calls that change state", true),
    STORE_ADDRESS("storeAddress", SettingType.IP_ADDRESS, "", "address of the platform's store"),
    STORE_PORT("storePort", SettingType.PORT, "", "port of the platform's store"),
    STORE_TIMEOUT_MILLIS("storeTimeoutMillis", 2_000, 10, 60_000, "timeout of a store call"),
    SEEDS("seeds", SettingType.PEERS, "[]", "control addresses of the hosts to contact at start"),
    LOOKUP_MAX_AGE_SECONDS("lookupMaxAgeSeconds", 5, 1, 300, "how long callers may cache a look-up response"),
    EVENT_LOOPS("eventLoops", 2, 1, 64, "number of threads that serve connections"),
    MAX_CALLER_CONNECTIONS("maxCallerConnections", 4_096, 1, 1_000_000, "maximum number of connections from callers"),
    MAX_BUFFERED_KIBIBYTES(
            "maxBufferedKibibytes",
            65_536,
            256,
            4_194_304,
            "maximum size of request and response bodies held in memory, in KiB"),
    DRAIN_LIMIT_SECONDS("drainLimitSeconds", 300, 1, 86_400, "maximum wait for running requests at a graceful stop");

    private final String field;
    private final SettingType type;
    private final String defaultJson;
    private final long min;
    private final long max;
    private final String description;
    private final boolean required;

    Setting(String field, SettingType type, String defaultValue, String description) {
        this(field, type, defaultValue, description, false);
    }

    Setting(String field, SettingType type, String defaultValue, String description, boolean optional) {
        this(
                field,
                type,
                type == SettingType.PEERS ? defaultValue : "\"" + defaultValue + "\"",
                0,
                0,
                description,
                defaultValue.isEmpty() && !optional);
    }

    Setting(String field, long defaultValue, long min, long max, String description) {
        this(field, SettingType.COUNT, Long.toString(defaultValue), min, max, description, false);
    }

    Setting(
            String field,
            SettingType type,
            String defaultJson,
            long min,
            long max,
            String description,
            boolean required) {
        this.field = field;
        this.type = type;
        this.defaultJson = defaultJson;
        this.min = min;
        this.max = max;
        this.description = description;
        this.required = required;
    }

    /** The field name in the settings file. */
    public String field() {
        return field;
    }

    /** The default value as JSON text; not used for required settings. */
    String defaultJson() {
        return defaultJson;
    }

    /** Description of the setting. */
    public String description() {
        return description;
    }

    /** True when the settings file must contain the setting. */
    public boolean required() {
        return required;
    }

    /** Description of the accepted values. */
    public String acceptedValues() {
        return type == SettingType.COUNT ? "a whole number from " + min + " to " + max : type.description();
    }

    /** True when the value has the right type and is in range. */
    boolean accepts(JsonNode value) {
        if (!type.accepts(value)) {
            return false;
        }
        return type != SettingType.COUNT || (value.asLong() >= min && value.asLong() <= max);
    }

    /** Returns the setting with this field name, if there is one. */
    static Optional<Setting> ofField(String field) {
        return Stream.of(values()).filter(s -> s.field.equals(field)).findFirst();
    }
}
