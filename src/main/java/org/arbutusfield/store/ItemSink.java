package org.arbutusfield.store;

/**
 * Takes the items of a listing, or the changes of a watch, one by one while the store's answer arrives.
 *
 * <p>Contract: changes come in order of revision. A call that fails may have passed on some of them, so they may be
 * used only when the call has succeeded.
 */
public interface ItemSink {
    /** Takes an item as it was written. */
    void written(StoreItem item);

    /**
     * Takes the removal of an item.
     *
     * @param key key of the item
     * @param revision revision of the removal
     */
    void removed(String key, long revision);
}
