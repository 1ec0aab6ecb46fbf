package org.arbutusfield.steering;

import org.arbutusfield.affinity.ObjectGroup;

/**
 * Identifies an object.
 *
 * @param group group of the object
 * @param key key of the object
 */
record ObjectId(ObjectGroup group, long key) {
    /** Region of groups whose objects may be at home in any region. */
    static final String ANY_REGION = "";
}
