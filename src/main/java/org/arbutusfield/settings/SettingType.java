package org.arbutusfield.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;

/** Value types of settings. */
enum SettingType {
    NAME("1 to 64 lower-case letters, digits, dots or dashes"),
    IP_ADDRESS("an IP address"),
    PORT("a port, 1 to 65535"),
    COUNT("a whole number"),
    PATH("a file path"),
    PEERS("a list of IP:port");

    private final String description;

    SettingType(String description) {
        this.description = description;
    }

    /** Description of the accepted values, for messages. */
    String description() {
        return description;
    }

    /** True when the value is of this type. The range of {@link #COUNT} is checked by {@link Setting}. */
    boolean accepts(JsonNode node) {
        return switch (this) {
            case NAME -> isName(node);
            case IP_ADDRESS -> node.isTextual() && NetUtil.isValidIpV4Address(node.asText());
            case PORT -> node.isIntegralNumber() && node.asLong() >= 1 && node.asLong() <= 65535;
            case COUNT -> node.isIntegralNumber() && node.canConvertToLong();
            case PATH -> node.isTextual();
            case PEERS -> isPeers(node);
        };
    }

    private static boolean isName(JsonNode node) {
        return node.isTextual() && node.asText().matches("[a-z0-9][a-z0-9.-]{0,63}");
    }

    private static boolean isPeers(JsonNode node) {
        if (!node.isArray()) {
            return false;
        }
        for (JsonNode peer : node) {
            if (!isPeer(peer.asText())) {
                return false;
            }
        }
        return true;
    }

    private static boolean isPeer(String text) {
        int colon = text.lastIndexOf(':');
        return colon > 0
                && NetUtil.isValidIpV4Address(text.substring(0, colon))
                && text.substring(colon + 1).matches("[1-9]\\d{0,4}")
                && Integer.parseInt(text.substring(colon + 1)) <= 65535;
    }
}
