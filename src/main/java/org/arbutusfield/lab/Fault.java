package org.arbutusfield.lab;

/** A fault that an upstream stand-in injects into one request. */
public enum Fault {
    /** No fault: the request is run and answered. */
    NONE,
    /** Refuses the request with 503 and states that it was not run. */
    SHED,
    /** Runs the request, but refuses it with 503 without stating whether it was run. */
    UNAVAILABLE,
    /** Reads the request and closes the connection without running it. */
    CLOSE_BEFORE_RUN,
    /** Runs the request and closes the connection without a response. */
    CLOSE_AFTER_RUN,
    /** Runs the request and resets the connection. */
    RESET_AFTER_RUN,
    /** Runs the request and never responds; the connection stays open. */
    SILENT,
    /** Runs the request and closes the connection in the middle of the response head. */
    TRUNCATED_HEAD,
    /** Runs the request and closes the connection in the middle of the response body. */
    TRUNCATED_BODY,
    /** Runs the request and resets the connection in the middle of the response body. */
    RESET_BODY,
    /** Runs the request and stops sending in the middle of the response body; the connection stays open. */
    SILENT_BODY,
    /** Sends the response twice in one write. */
    DUPLICATE_RESPONSE,
    /** Sends the response, and the same response again a few milliseconds later. */
    LATE_DUPLICATE,
    /** Sends a few bytes more than the announced length. */
    TRAILING_BYTES,
    /** Responds with the id of another request. */
    WRONG_REQUEST_ID,
    /** Responds with bytes that are not HTTP. */
    MALFORMED_RESPONSE,
    /** Responds with both content-length and transfer-encoding. */
    CONFLICTING_LENGTHS,
    /** Responds in HTTP/1.0 with two different lengths, the first of which is too short. */
    TWO_LENGTHS,
    /** Responds before it has read the request body. */
    EARLY_RESPONSE,
    /** Responds without a length and ends the body by closing the connection normally. */
    CLOSE_DELIMITED,
    /** Responds without a length and resets the connection in the middle of the body. */
    CLOSE_DELIMITED_RESET,
    /** Responds with chunked encoding and closes the connection before the last chunk. */
    TRUNCATED_CHUNKS
}
