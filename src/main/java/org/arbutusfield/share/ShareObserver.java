package org.arbutusfield.share;

/** Gets what a host does about the limits of teams. Called on the host's event loop. */
public interface ShareObserver {
    /** Ignores everything. */
    ShareObserver NONE = new ShareObserver() {
        @Override
        public void counted(ShareOutcome outcome) {}

        @Override
        public void reported(boolean answered) {}

        @Override
        public void holds(int shares) {}
    };

    /** A request was counted or refused. */
    void counted(ShareOutcome outcome);

    /** A report was answered, or was not. */
    void reported(boolean answered);

    /** The host holds shares of this many teams. */
    void holds(int shares);
}
