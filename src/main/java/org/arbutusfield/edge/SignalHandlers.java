package org.arbutusfield.edge;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Installs handlers for signals other than those that stop the process. The runtime offers them only through an
 * unsupported class, so that class is loaded by reflection.
 */
final class SignalHandlers {
    private static final Logger LOG = LogManager.getLogger(SignalHandlers.class);
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private SignalHandlers() {}

    /** Runs the subscriber on a separate thread each time the named signal arrives. */
    static void on(String name, Runnable subscriber) {
        try {
            Class<?> signal = Class.forName(SIGNAL);
            Class<?> handler = Class.forName(HANDLER);
            Object proxy = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        subscriber.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            LOG.warn("event=signal_not_handled signal={}", name, e);
        }
    }
}
