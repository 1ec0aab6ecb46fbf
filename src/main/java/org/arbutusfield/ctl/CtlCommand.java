package org.arbutusfield.ctl;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** The commands of the tool with their words, argument and description. */
public enum CtlCommand {
    NOTE_CHECK("note check", "FILE", "check a release note against the running state; change nothing"),
    NOTE_DIFF("note diff", "FILE", "show what a release note would add, change and withdraw"),
    NOTE_APPLY("note apply", "FILE", "apply a release note to the running state, as a whole"),
    NOTE_STATUS("note status", "ID", "show whether the note with this id was applied, and as which revision"),
    NOTE_WAIT("note wait", "REVISION", "wait until every host has the revision in force"),
    SHOW("show", "KIND", "list items: " + String.join(", ", KindNames.ALL)),
    STATUS("status", "", "list hosts with state, revision in force and running requests"),
    DRAIN("drain", "TARGET:NAME", "stop new work for an upstream, failure_domain, region or host"),
    UNDRAIN("undrain", "TARGET:NAME", "remove a drain"),
    REPORT_BURN("report burn", "", "show service-level objectives, burn rates of their error budgets, and the reasons"),
    TEAMS("teams", "", "show for each team what hosts were asked for, sent and refused, and the shares they hold"),
    VERSION("version", "", "print the release");

    private final String words;
    private final String argument;
    private final String description;

    CtlCommand(String words, String argument, String description) {
        this.words = words;
        this.argument = argument;
        this.description = description;
    }

    /** The words of the command, separated by one space. */
    public String words() {
        return words;
    }

    /** The name of the argument; empty when the command takes none. */
    public String argument() {
        return argument;
    }

    /** Description of the command, for the help text. */
    public String description() {
        return description;
    }

    /** Returns the command that matches the words exactly, including its argument if it takes one. */
    static Optional<CtlCommand> of(List<String> words) {
        return Stream.of(values()).filter(command -> command.matches(words)).findFirst();
    }

    private boolean matches(List<String> given) {
        List<String> own = List.of(words.split(" "));
        int size = own.size() + (argument.isEmpty() ? 0 : 1);
        return given.size() == size && given.subList(0, own.size()).equals(own);
    }
}
