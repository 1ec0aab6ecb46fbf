package org.arbutusfield.ctl;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** The options of the command-line tool. */
public enum CtlOption {
    STORE("store", "IP:PORT", "address of the platform's store"),
    HOSTS("hosts", "IP:PORT,...", "admin addresses of the entry hosts"),
    WAIT_SECONDS("wait-seconds", "SECONDS", "maximum time that 'note wait' waits; default 30"),
    NOTE_ID("id", "ID", "id of the note that 'drain' and 'undrain' apply"),
    OUT("out", "FILE", "file for the HTML form of a report"),
    JSON("json", null, "print JSON instead of a table"),
    HELP("help", null, "print this help");

    private final String longName;
    private final String argument;
    private final String description;

    CtlOption(String longName, String argument, String description) {
        this.longName = longName;
        this.argument = argument;
        this.description = description;
    }

    /** The long name of the option, without dashes. */
    public String longName() {
        return longName;
    }

    /** All options, for the command-line parser. */
    static Options options() {
        Options options = new Options();
        for (CtlOption option : values()) {
            options.addOption(Option.builder()
                    .longOpt(option.longName)
                    .hasArg(option.argument != null)
                    .argName(option.argument)
                    .desc(option.description)
                    .get());
        }
        return options;
    }
}
