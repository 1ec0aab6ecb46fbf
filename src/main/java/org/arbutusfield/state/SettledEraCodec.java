package org.arbutusfield.state;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/** Encodes the settled era of the store, see {@link LeaderView}, as a decimal number. */
public final class SettledEraCodec {
    /** Key of the item. */
    public static final String KEY = "leader/settled-era";

    private static final Pattern ERA = Pattern.compile("[0-9]{1,18}");

    private SettledEraCodec() {}

    /** Encodes an era. */
    public static byte[] encode(long era) {
        return Long.toString(era).getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes the item; fails with {@code ITEM_UNREADABLE}. */
    public static Either<Failure, StateItem> decode(byte[] value) {
        String text = new String(value, StandardCharsets.UTF_8);
        return ERA.matcher(text).matches()
                ? Either.right(new StateItem.SettledEra(Long.parseLong(text)))
                : Either.left(Failure.of(ErrorCode.ITEM_UNREADABLE, KEY, "value is not a number"));
    }
}
