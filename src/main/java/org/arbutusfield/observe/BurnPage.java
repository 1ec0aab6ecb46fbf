package org.arbutusfield.observe;

import java.util.Locale;
import java.util.Map;

/** The burn report as one HTML page that needs nothing else: a table and a bar for each objective. */
public final class BurnPage {
    private static final double FULL_BAR_BURN = 10;
    private static final int BAR_WIDTH = 240;
    private static final String STYLE = """
            body{font:14px/1.5 system-ui,sans-serif;margin:2rem;color:#1c2321}
            table{border-collapse:collapse}
            th,td{padding:.35rem .8rem;border-bottom:1px solid #d5dad8;text-align:right}
            th:first-child,td:first-child,td.text{text-align:left}
            .silent{color:#a33;font-weight:600}
            .ok{fill:#3d7f5f}.warn{fill:#c98a1b}.bad{fill:#b23a3a}
            """;

    private BurnPage() {}

    /** The whole page. */
    public static String render(BurnReport report) {
        StringBuilder page = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">")
                .append("<title>Service-level burn</title><style>")
                .append(STYLE)
                .append("</style><h1>Service-level burn</h1><p>Counted on ")
                .append(report.hosts().size())
                .append(" hosts. A burn rate of 1 uses the budget up exactly at the end of its window.</p>");
        if (!report.silent().isEmpty()) {
            page.append("<p class=\"silent\">No answer from ")
                    .append(escape(String.join(", ", report.silent())))
                    .append("; their requests are missing.</p>");
        }
        page.append("<table><tr><th>service / region / class</th><th>objective</th>");
        for (BurnWindow window : BurnWindow.values()) {
            page.append("<th>burn ").append(window.label()).append("</th>");
        }
        page.append("<th>good 1h</th><th>bad 1h</th><th>what burns it</th><th>burn, 1h</th></tr>");
        report.rows().forEach(row -> row(page, row));
        return page.append("</table></html>\n").toString();
    }

    /** What burns an objective, most frequent first, as words. */
    public static String reasons(BurnCounts counts) {
        StringBuilder words = new StringBuilder();
        counts.bad().entrySet().stream()
                .sorted(Map.Entry.<Badness, Long>comparingByValue().reversed())
                .forEach(entry -> words.append(words.length() == 0 ? "" : ", ")
                        .append(entry.getKey().name().toLowerCase(Locale.ROOT))
                        .append(' ')
                        .append(entry.getValue()));
        return words.length() == 0 ? "-" : words.toString();
    }

    private static void row(StringBuilder page, BurnRow row) {
        BurnCounts hour = row.counts(BurnWindow.ONE_HOUR);
        ObjectiveKey key = row.key();
        page.append("<tr><td>")
                .append(escape(key.service() + " / " + key.region() + " / " + key.requestClass()))
                .append("</td><td>")
                .append(String.format(Locale.ROOT, "%.3g %% in %d ms", row.target() * 100, row.latencyMillis()))
                .append("</td>");
        for (BurnWindow window : BurnWindow.values()) {
            double burn = row.counts(window).burnRate(row.target());
            page.append(String.format(Locale.ROOT, "<td>%.2f</td>", burn));
        }
        page.append("<td>").append(hour.good()).append("</td><td>").append(hour.totalBad());
        page.append("</td><td class=\"text\">").append(reasons(hour)).append("</td><td>");
        bar(page, hour.burnRate(row.target()));
        page.append("</td></tr>");
    }

    private static void bar(StringBuilder page, double burn) {
        double length = Math.min(1, burn / FULL_BAR_BURN) * BAR_WIDTH;
        String kind = burn < 1 ? "ok" : burn < FULL_BAR_BURN ? "warn" : "bad";
        page.append(String.format(
                Locale.ROOT,
                "<svg width=\"%d\" height=\"14\" role=\"img\" aria-label=\"burn %.2f\">"
                        + "<rect width=\"%d\" height=\"14\" fill=\"#eceeed\"/>"
                        + "<rect class=\"%s\" width=\"%.1f\" height=\"14\"/>"
                        + "<line x1=\"%d\" x2=\"%d\" y1=\"0\" y2=\"14\" stroke=\"#1c2321\"/></svg>",
                BAR_WIDTH,
                burn,
                BAR_WIDTH,
                kind,
                length,
                (int) (BAR_WIDTH / FULL_BAR_BURN),
                (int) (BAR_WIDTH / FULL_BAR_BURN)));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
