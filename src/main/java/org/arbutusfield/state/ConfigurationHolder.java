package org.arbutusfield.state;

import java.util.Optional;

/** The operator's configuration as this host has it, and whether the host still hears of changes from the store. */
interface ConfigurationHolder {
    /** Sets the listener that is called each time the host's calls to the store begin to fail. */
    void onOutage(Runnable listener);

    /** Returns true while the host's calls to the store fail. */
    boolean storeUnavailable();

    /** Returns the configuration in force as it was read, if there is one. */
    Optional<ConfigurationItem> configuration();

    /** Installs a configuration that another host has read, unless the one in force is as recent. */
    void installFromPeer(String key, byte[] value);
}
