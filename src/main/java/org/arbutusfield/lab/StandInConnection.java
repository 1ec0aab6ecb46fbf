package org.arbutusfield.lab;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.SimpleHttpRequest;

/**
 * A connection of an upstream stand-in. It writes raw bytes instead of using an HTTP encoder, so that it can send
 * malformed responses.
 */
final class StandInConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_STORED_BODY_BYTES = 1 << 20;
    private static final int WRITE_BYTES = 64 << 10;
    private static final long DUPLICATE_DELAY_MILLIS = 5;

    private final UpstreamStandIn server;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Channel channel;
    private SimpleHttpRequest request;
    private Fault fault = Fault.NONE;
    private boolean silent;
    private boolean running;
    private boolean held;
    private StandInResponse response;
    private long bodyBytesSent;
    private long bodyBytesToSend;
    private boolean writing;

    private StandInConnection(UpstreamStandIn server) {
        this.server = server;
    }

    static StandInConnection of(UpstreamStandIn server) {
        return new StandInConnection(server);
    }

    void silence() {
        channel.eventLoop().execute(() -> {
            silent = true;
            channel.config().setAutoRead(false);
        });
    }

    void close() {
        channel.close();
    }

    void releaseHeldResponses() {
        channel.eventLoop().execute(() -> {
            if (held) {
                held = false;
                finishRun();
            }
        });
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (silent) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest head) {
            List<Header> headers = head.headers().entries().stream()
                    .map(field -> Header.of(field.getKey(), field.getValue()))
                    .toList();
            request = new SimpleHttpRequest(head.method().name(), head.uri(), headers, Body.empty());
            body.reset();
            fault = server.faultOf(request);
            if (fault == Fault.EARLY_RESPONSE) {
                run();
            }
        }
        if (message instanceof HttpContent part) {
            storeBody(part.content());
            boolean last = part instanceof LastHttpContent;
            part.release();
            if (last && fault != Fault.EARLY_RESPONSE) {
                request = new SimpleHttpRequest(
                        request.method(), request.target(), request.headers(), Body.of(body.toByteArray()));
                run();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (server.readPause().isZero()) {
            return;
        }
        channel.config().setAutoRead(false);
        channel.eventLoop()
                .schedule(
                        () -> channel.config().setAutoRead(!silent),
                        server.readPause().toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        continueWriting();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.onConnectionClosed(this);
        if (running) {
            running = false;
            server.freeSlot();
            server.countCancelled();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        channel.close();
    }

    private void storeBody(ByteBuf part) {
        int room = MAX_STORED_BODY_BYTES - body.size();
        byte[] bytes = new byte[Math.min(room, part.readableBytes())];
        part.readBytes(bytes);
        body.writeBytes(bytes);
    }

    private void run() {
        if (fault == Fault.CLOSE_BEFORE_RUN) {
            channel.close();
            return;
        }
        if (fault == Fault.SHED || !server.occupySlot()) {
            startResponse(StandInResponse.unavailable(true));
            return;
        }
        running = true;
        server.countRun(request);
        if (server.holds(request)) {
            held = true;
            return;
        }
        server.timer().after(server.serviceTime(), () -> channel.eventLoop().execute(this::finishRun));
    }

    private void finishRun() {
        if (!running || silent || fault == Fault.SILENT) {
            return;
        }
        running = false;
        server.freeSlot();
        switch (fault) {
            case CLOSE_AFTER_RUN -> channel.close();
            case RESET_AFTER_RUN -> reset();
            case UNAVAILABLE -> startResponse(StandInResponse.unavailable(false));
            case MALFORMED_RESPONSE -> write("SSH-2.0-server\r\n\r\n");
            case TRUNCATED_HEAD ->
                channel.writeAndFlush(encode("HTTP/1.1 200 OK\r\ncontent-le")).addListener(ChannelFutureListener.CLOSE);
            default -> startResponse(StandInResponse.of(request, server.name(), server.entityTag()));
        }
    }

    private void startResponse(StandInResponse next) {
        response = next;
        bodyBytesSent = 0;
        boolean truncated = fault == Fault.TRUNCATED_BODY
                || fault == Fault.RESET_BODY
                || fault == Fault.SILENT_BODY
                || fault == Fault.TRUNCATED_CHUNKS
                || fault == Fault.CLOSE_DELIMITED_RESET;
        bodyBytesToSend = truncated ? response.length() / 2 : response.length();
        if (request.method().equals("HEAD")) {
            bodyBytesToSend = 0;
        }
        channel.write(encode(head()));
        if (fault == Fault.DUPLICATE_RESPONSE || fault == Fault.LATE_DUPLICATE) {
            sendDuplicate();
        }
        continueWriting();
    }

    private String head() {
        String id = fault == Fault.WRONG_REQUEST_ID
                ? "another"
                : request.header("x-request-id").orElse("");
        String fields =
                response.head() + (server.echoesRequestIds() && !id.isEmpty() ? "x-request-id: " + id + "\r\n" : "");
        return switch (fault) {
            case CLOSE_DELIMITED, CLOSE_DELIMITED_RESET -> fields + "connection: close\r\n\r\n";
            case TRUNCATED_CHUNKS -> fields + "transfer-encoding: chunked\r\n\r\n";
            case CONFLICTING_LENGTHS ->
                fields + "transfer-encoding: chunked\r\ncontent-length: " + response.length() + "\r\n\r\n";
            case TWO_LENGTHS ->
                fields.replace("HTTP/1.1", "HTTP/1.0")
                        + "content-length: " + response.length() / 2 + "\r\ncontent-length: " + response.length()
                        + "\r\n\r\n";
            default -> fields + "content-length: " + response.length() + "\r\n\r\n";
        };
    }

    private void sendDuplicate() {
        String copy = head() + new String(response.body(0, (int) response.length()), StandardCharsets.ISO_8859_1);
        ByteBuf bytes = Unpooled.copiedBuffer(copy, StandardCharsets.ISO_8859_1);
        if (fault == Fault.LATE_DUPLICATE) {
            channel.eventLoop()
                    .schedule(() -> channel.writeAndFlush(bytes), DUPLICATE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        channel.write(Unpooled.wrappedBuffer(response.body(0, (int) response.length())));
        channel.write(bytes);
        bodyBytesSent = bodyBytesToSend;
    }

    private void continueWriting() {
        if (response == null || silent || writing) {
            return;
        }
        writing = true;
        while (bodyBytesSent < bodyBytesToSend && channel.isWritable()) {
            int count = (int) Math.min(WRITE_BYTES, bodyBytesToSend - bodyBytesSent);
            ByteBuf part = Unpooled.wrappedBuffer(response.body(bodyBytesSent, count));
            bodyBytesSent += count;
            channel.write(fault == Fault.TRUNCATED_CHUNKS ? chunk(part) : part);
            channel.flush();
        }
        channel.flush();
        writing = false;
        if (bodyBytesSent >= bodyBytesToSend) {
            response = null;
            finishResponse();
        }
    }

    private void finishResponse() {
        switch (fault) {
            case TRAILING_BYTES -> write("HTT");
            case TRUNCATED_BODY, TRUNCATED_CHUNKS, CLOSE_DELIMITED ->
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            case RESET_BODY, CLOSE_DELIMITED_RESET ->
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> reset());
            case SILENT_BODY -> silence();
            default -> channel.flush();
        }
    }

    private void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void write(String bytes) {
        channel.writeAndFlush(encode(bytes));
    }

    private static ByteBuf chunk(ByteBuf part) {
        String size = Integer.toHexString(part.readableBytes());
        return Unpooled.wrappedBuffer(encode(size + "\r\n"), part, encode("\r\n"));
    }

    private static ByteBuf encode(String bytes) {
        return Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1);
    }
}
