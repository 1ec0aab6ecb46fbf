package org.arbutusfield.lab;

/** Decides for each call what a store stand-in does to it. Called once per call, in order of arrival. */
@FunctionalInterface
public interface StoreFaults {

    /** The fault for the call; {@link StoreFault#none()} serves it. */
    StoreFault faultOf(StoreCall call);

    /** Serves every call. */
    static StoreFaults none() {
        return call -> StoreFault.none();
    }

    /** Does the same to every call. */
    static StoreFaults always(StoreFault fault) {
        return call -> fault;
    }

    /** Does the same to every call of one kind and serves the others. */
    static StoreFaults on(StoreCall.Kind kind, StoreFault fault) {
        return call -> call.kind() == kind ? fault : StoreFault.none();
    }
}
