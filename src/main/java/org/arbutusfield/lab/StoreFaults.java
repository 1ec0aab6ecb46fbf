package org.arbutusfield.lab;

/** Chooses the fault of each call to a store stand-in. Called once per call, in order of arrival. */
@FunctionalInterface
public interface StoreFaults {

    /** Returns the fault of the call; {@link StoreFault#none()} for none. */
    StoreFault faultOf(StoreCall call);

    /** No fault for any call. */
    static StoreFaults none() {
        return call -> StoreFault.none();
    }

    /** The same fault for every call. */
    static StoreFaults always(StoreFault fault) {
        return call -> fault;
    }

    /** The same fault for every call of one kind, and none for the others. */
    static StoreFaults on(StoreCall.Kind kind, StoreFault fault) {
        return call -> call.kind() == kind ? fault : StoreFault.none();
    }
}
