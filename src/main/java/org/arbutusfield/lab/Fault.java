package org.arbutusfield.lab;

/** What an upstream stand-in does wrong with one request. */
public enum Fault {
    /** Nothing: it runs the request and answers. */
    NONE,
    /** It refuses with 503 and the statement that the request was not run. */
    SHED,
    /** It refuses with 503 without that statement, and has run the request. */
    UNAVAILABLE,
    /** It reads the request, runs it not, and closes. */
    CLOSE_BEFORE_RUN,
    /** It runs the request and closes without an answer. */
    CLOSE_AFTER_RUN,
    /** It runs the request and resets the connection. */
    RESET_AFTER_RUN,
    /** It runs the request and never answers; the connection stays open. */
    SILENT,
    /** It runs the request and closes midway in the answer's head. */
    TRUNCATED_HEAD,
    /** It runs the request and closes midway in the answer's body. */
    TRUNCATED_BODY,
    /** It runs the request and resets the connection midway in the answer's body. */
    RESET_BODY,
    /** It runs the request and falls silent midway in the answer's body. */
    SILENT_BODY,
    /** It answers twice in one write. */
    DUPLICATE_RESPONSE,
    /** It answers, and sends the same answer again a little later. */
    LATE_DUPLICATE,
    /** It answers with a few bytes more than announced. */
    TRAILING_BYTES,
    /** It answers with the id of another request. */
    WRONG_REQUEST_ID,
    /** It answers with bytes that are not HTTP. */
    MALFORMED_RESPONSE,
    /** It answers with both content-length and transfer-encoding. */
    CONFLICTING_LENGTHS,
    /** It answers before it has read the body. */
    EARLY_RESPONSE,
    /** It answers without a length and closes in order. */
    CLOSE_DELIMITED,
    /** It answers without a length and resets midway. */
    CLOSE_DELIMITED_RESET,
    /** It answers in chunks and closes before the last one. */
    TRUNCATED_CHUNKS
}
