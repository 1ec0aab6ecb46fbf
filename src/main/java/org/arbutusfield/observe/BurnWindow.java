package org.arbutusfield.observe;

/**
 * The windows for which the burn is reported.
 *
 * <p>A short and a long window together distinguish a burst that is over from one that continues.
 */
public enum BurnWindow {
    FIVE_MINUTES("5m", 5 * 60),
    ONE_HOUR("1h", 60 * 60),
    SIX_HOURS("6h", 6 * 60 * 60);

    private final String label;
    private final int seconds;

    BurnWindow(String label, int seconds) {
        this.label = label;
        this.seconds = seconds;
    }

    /** Short label for tables. */
    public String label() {
        return label;
    }

    /** Length in seconds. */
    public int seconds() {
        return seconds;
    }
}
