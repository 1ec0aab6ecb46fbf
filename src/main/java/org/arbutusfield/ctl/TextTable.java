package org.arbutusfield.ctl;

import java.util.ArrayList;
import java.util.List;

/** A text table with aligned columns. */
final class TextTable {
    private static final int COLUMN_GAP = 2;

    private final List<List<String>> rows = new ArrayList<>();

    private TextTable() {}

    /** Creates a table with a heading row. */
    static TextTable of(String... headings) {
        return new TextTable().row(headings);
    }

    /** Appends a row, which must have as many cells as the heading. */
    TextTable row(String... cells) {
        rows.add(List.of(cells));
        return this;
    }

    @Override
    public String toString() {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length() + COLUMN_GAP);
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length()));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
