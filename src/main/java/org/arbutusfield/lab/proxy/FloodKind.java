package org.arbutusfield.lab.proxy;

/** What the floods of {@link FloodExperiment} consist of: a beginning, and text that is repeated without end. */
enum FloodKind {
    /** No flood, for comparison. */
    NONE(Side.UPSTREAM, "", ""),
    INTERIM_RESPONSES(Side.UPSTREAM, "", "HTTP/1.1 102 Processing\r\n\r\n"),
    ONE_BYTE_CHUNKS(Side.UPSTREAM, Constants.CHUNKED, "1\r\nx\r\n"),
    CHUNK_EXTENSIONS(Side.UPSTREAM, Constants.CHUNKED + "1;", "extension"),
    TRAILERS(Side.UPSTREAM, Constants.CHUNKED + "0\r\n", "x-many: x\r\n"),
    HEAD_FIELDS(Side.UPSTREAM, "HTTP/1.1 200 OK\r\n", "x-many: x\r\n"),
    BODY_WITHOUT_LENGTH(Side.UPSTREAM, "HTTP/1.1 200 OK\r\n\r\n", "x"),
    UPLOAD_IN_ONE_BYTE_CHUNKS(Side.CALLER, "POST /desk/x HTTP/1.1\r\nhost: x\r\n" + Constants.CODING, "1\r\nx\r\n"),
    PIPELINED_HEADS(Side.CALLER, "", "GET /desk/x HTTP/1.1\r\nhost: x\r\n\r\n");

    private final Side side;
    private final String start;
    private final String repeated;

    FloodKind(Side side, String start, String repeated) {
        this.side = side;
        this.start = start;
        this.repeated = repeated;
    }

    /** Who sends the flood. */
    enum Side {
        UPSTREAM,
        CALLER
    }

    Side side() {
        return side;
    }

    String start() {
        return start;
    }

    String repeated() {
        return repeated;
    }

    private static final class Constants {
        private static final String CODING = "transfer-encoding: chunked\r\n\r\n";
        private static final String CHUNKED = "HTTP/1.1 200 OK\r\n" + CODING;
    }
}
