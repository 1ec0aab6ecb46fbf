package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.Map;

/** How much memory the head of a message holds, in bytes: many times what was received, if it has many short fields. */
final class HeadMemory {
    /** Memory of the objects of one field, in the message and in the copy that is passed on. */
    private static final int FIELD_OBJECT_BYTES = 200;

    private HeadMemory() {}

    static long of(HttpHeaders headers) {
        long bytes = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> fields = headers.iteratorCharSequence();
        while (fields.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            bytes += FIELD_OBJECT_BYTES
                    + field.getKey().length()
                    + field.getValue().length();
        }
        return bytes;
    }
}
