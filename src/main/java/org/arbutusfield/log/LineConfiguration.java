package org.arbutusfield.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LifeCycle;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.ConfigurationSource;

/** The root logger at level INFO with the {@link LineAppender}, and nothing else. */
final class LineConfiguration extends AbstractConfiguration {
    private LineConfiguration(LoggerContext context) {
        super(context, ConfigurationSource.NULL_SOURCE);
    }

    static LineConfiguration of(LoggerContext context) {
        return new LineConfiguration(context);
    }

    @Override
    public void initialize() {
        doConfigure();
        setState(LifeCycle.State.INITIALIZED);
    }

    @Override
    protected void doConfigure() {
        LineAppender appender = LineAppender.createStarted();
        addAppender(appender);
        getRootLogger().addAppender(appender, Level.ALL, null);
        getRootLogger().setLevel(Level.INFO);
    }
}
