package org.arbutusfield.observe;

import java.util.Locale;
import java.util.Map;

/** Renders the burn report as one self-contained HTML page: a table with a bar for each objective. */
public final class BurnPage {
    private static final double FULL_BAR_BURN_RATE = 10;
    private static final int BAR_WIDTH_PIXELS = 240;
    private static final String STYLE = """
            body{font:14px/1.5 system-ui,sans-serif;margin:2rem;color:#1c2321}
            table{border-collapse:collapse}
            th,td{padding:.35rem .8rem;border-bottom:1px solid #d5dad8;text-align:right}
            th:first-child,td:first-child,td.text{text-align:left}
            .silent{color:#a33;font-weight:600}
            .ok{fill:#3d7f5f}.warn{fill:#c98a1b}.bad{fill:#b23a3a}
            """;

    private BurnPage() {}

    /** Returns the complete page. */
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
        report.rows().forEach(row -> appendRow(page, row));
        return page.append("</table></html>\n").toString();
    }

    /** Returns the reasons for bad requests as text, most frequent first. */
    public static String reasons(BurnCounts counts) {
        StringBuilder text = new StringBuilder();
        counts.bad().entrySet().stream()
                .sorted(Map.Entry.<BurnReason, Long>comparingByValue().reversed())
                .forEach(entry -> text.append(text.length() == 0 ? "" : ", ")
                        .append(entry.getKey().name().toLowerCase(Locale.ROOT))
                        .append(' ')
                        .append(entry.getValue()));
        return text.length() == 0 ? "-" : text.toString();
    }

    private static void appendRow(StringBuilder page, BurnRow row) {
        BurnCounts lastHour = row.counts(BurnWindow.ONE_HOUR);
        ObjectiveKey key = row.key();
        page.append("<tr><td>")
                .append(escape(key.service() + " / " + key.region() + " / " + key.requestClass()))
                .append("</td><td>")
                .append(String.format(Locale.ROOT, "%.3g %% in %d ms", row.target() * 100, row.latencyMillis()))
                .append("</td>");
        for (BurnWindow window : BurnWindow.values()) {
            double burnRate = row.counts(window).burnRate(row.target());
            page.append(String.format(Locale.ROOT, "<td>%.2f</td>", burnRate));
        }
        page.append("<td>").append(lastHour.good()).append("</td><td>").append(lastHour.totalBad());
        page.append("</td><td class=\"text\">").append(reasons(lastHour)).append("</td><td>");
        appendBar(page, lastHour.burnRate(row.target()));
        page.append("</td></tr>");
    }

    private static void appendBar(StringBuilder page, double burnRate) {
        double length = Math.min(1, burnRate / FULL_BAR_BURN_RATE) * BAR_WIDTH_PIXELS;
        String cssClass = burnRate < 1 ? "ok" : burnRate < FULL_BAR_BURN_RATE ? "warn" : "bad";
        page.append(String.format(
                Locale.ROOT,
                "<svg width=\"%d\" height=\"14\" role=\"img\" aria-label=\"burn %.2f\">"
                        + "<rect width=\"%d\" height=\"14\" fill=\"#eceeed\"/>"
                        + "<rect class=\"%s\" width=\"%.1f\" height=\"14\"/>"
                        + "<line x1=\"%d\" x2=\"%d\" y1=\"0\" y2=\"14\" stroke=\"#1c2321\"/></svg>",
                BAR_WIDTH_PIXELS,
                burnRate,
                BAR_WIDTH_PIXELS,
                cssClass,
                length,
                (int) (BAR_WIDTH_PIXELS / FULL_BAR_BURN_RATE),
                (int) (BAR_WIDTH_PIXELS / FULL_BAR_BURN_RATE)));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
