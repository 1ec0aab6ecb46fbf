package org.arbutusfield.misc;

/** Writes texts from outside as the value of one {@code key=value} pair of a log line. */
public final class LogValue {
    private static final int MAX_CHARS = 200;

    private LogValue() {}

    /**
     * Returns the text if it has only visible ASCII characters other than the quotation mark and the backslash;
     * otherwise the text in quotation marks, with those two and all characters that aren't visible escaped. A text that
     * is too long is cut.
     */
    public static String of(String text) {
        String cut = text.length() > MAX_CHARS ? text.substring(0, MAX_CHARS) : text;
        boolean plain = !cut.isEmpty() && cut.chars().allMatch(LogValue::isPlain);
        return plain ? cut : quoted(cut);
    }

    private static boolean isPlain(int c) {
        return VisibleAscii.includes(c) && c != '"' && c != '\\';
    }

    private static String quoted(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        text.chars().forEach(c -> {
            if (isPlain(c) || c == ' ') {
                quoted.append((char) c);
            } else if (c == '"' || c == '\\') {
                quoted.append('\\').append((char) c);
            } else {
                quoted.append(String.format("\\u%04x", c));
            }
        });
        return quoted.append('"').toString();
    }
}
