package org.arbutusfield.log;

import java.net.URI;
import java.util.List;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.selector.ContextSelector;

/**
 * Provides one logging context for the process, configured in code. This class is named in
 * {@code log4j2.component.properties}. A configuration file would make the library load all of its plug-ins, which
 * takes most of the start-up time of a process.
 */
public final class LogContextSelector implements ContextSelector {
    private final LoggerContext context = new LoggerContext("arbutusfield");

    /** Called once by the logging library. */
    public LogContextSelector() {
        context.start(LineConfiguration.of(context));
    }

    @Override
    public LoggerContext getContext(String callerClass, ClassLoader loader, boolean currentContext) {
        return context;
    }

    @Override
    public LoggerContext getContext(String callerClass, ClassLoader loader, boolean currentContext, URI location) {
        return context;
    }

    @Override
    public List<LoggerContext> getLoggerContexts() {
        return List.of(context);
    }

    @Override
    public void removeContext(LoggerContext removed) {
        // The single context exists as long as the process.
    }

    @Override
    public boolean isClassLoaderDependent() {
        return false;
    }
}
