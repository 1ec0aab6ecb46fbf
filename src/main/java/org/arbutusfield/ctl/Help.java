package org.arbutusfield.ctl;

import java.util.Comparator;
import org.apache.commons.cli.Option;

/** The help text, generated from the commands, options and exit codes. */
final class Help {
    private Help() {}

    /** The whole text. */
    static String text() {
        StringBuilder text = new StringBuilder("usage: arbutusctl [options] command\n\ncommands:\n");
        for (CtlCommand command : CtlCommand.values()) {
            line(text, command.words() + " " + command.argument(), command.description());
        }
        text.append("\noptions:\n");
        CtlOption.options().getOptions().stream()
                .sorted(Comparator.comparing(Option::getLongOpt))
                .forEach(o -> line(
                        text, "--" + o.getLongOpt() + (o.hasArg() ? " " + o.getArgName() : ""), o.getDescription()));
        text.append("\nexit codes:\n");
        for (ExitCode code : ExitCode.values()) {
            line(text, Integer.toString(code.status()), code.description());
        }
        return text.append("""

                example: arbutusctl --store 127.0.0.1:20000 note apply examples/magnolia-note.json
                         arbutusctl --hosts 127.0.0.1:20300,127.0.0.1:20301 note wait 1
                """).toString();
    }

    private static void line(StringBuilder text, String left, String right) {
        text.append(String.format("  %-28s %s%n", left, right));
    }
}
