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

/** One connection of an upstream stand-in; it writes bytes itself, so that it can write wrong ones. */
final class StandInConnection extends ChannelInboundHandlerAdapter {
    private static final int KEPT_BODY_BYTES = 1 << 20;
    private static final int WRITE_BYTES = 64 << 10;
    private static final long STALE_DELAY_MILLIS = 5;

    private final UpstreamStandIn server;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Channel channel;
    private SimpleHttpRequest call;
    private Fault fault = Fault.NONE;
    private boolean silent;
    private boolean running;
    private boolean holding;
    private StandInAnswer answer;
    private long sent;
    private long stopAt;
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

    void releaseHeld() {
        channel.eventLoop().execute(() -> {
            if (holding) {
                holding = false;
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
            call = new SimpleHttpRequest(head.method().name(), head.uri(), headers, Body.empty());
            body.reset();
            fault = server.faultOf(call);
            if (fault == Fault.EARLY_ANSWER) {
                run();
            }
        }
        if (message instanceof HttpContent part) {
            receive(part.content());
            boolean last = part instanceof LastHttpContent;
            part.release();
            if (last && fault != Fault.EARLY_ANSWER) {
                call = new SimpleHttpRequest(call.method(), call.target(), call.headers(), Body.of(body.toByteArray()));
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
        writeOn();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
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

    private void receive(ByteBuf part) {
        int room = KEPT_BODY_BYTES - body.size();
        byte[] bytes = new byte[Math.min(room, part.readableBytes())];
        part.readBytes(bytes);
        body.writeBytes(bytes);
    }

    private void run() {
        if (fault == Fault.CLOSE_UNRUN) {
            channel.close();
            return;
        }
        if (fault == Fault.SHED || !server.occupySlot()) {
            begin(StandInAnswer.unavailable(true));
            return;
        }
        running = true;
        server.countRun(call);
        if (server.holds(call)) {
            holding = true;
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
            case UNAVAILABLE -> begin(StandInAnswer.unavailable(false));
            case MALFORMED_ANSWER -> write("SSH-2.0-server\r\n\r\n");
            case CUT_HEAD ->
                channel.writeAndFlush(text("HTTP/1.1 200 OK\r\ncontent-le")).addListener(ChannelFutureListener.CLOSE);
            default -> begin(StandInAnswer.of(call, server.name(), server.validator()));
        }
    }

    private void begin(StandInAnswer next) {
        answer = next;
        sent = 0;
        boolean cut = fault == Fault.CUT_BODY
                || fault == Fault.RESET_BODY
                || fault == Fault.SILENT_BODY
                || fault == Fault.CUT_CHUNKS
                || fault == Fault.CLOSE_DELIMITED_RESET;
        stopAt = cut ? answer.length() / 2 : answer.length();
        if (call.method().equals("HEAD")) {
            stopAt = 0;
        }
        channel.write(text(head()));
        if (fault == Fault.DUPLICATE_ANSWER || fault == Fault.STALE_ANSWER) {
            duplicate();
        }
        writeOn();
    }

    private String head() {
        String id = fault == Fault.CROSSED_ANSWER
                ? "another"
                : call.header("x-request-id").orElse("");
        String fields = answer.head() + (server.echoesIds() && !id.isEmpty() ? "x-request-id: " + id + "\r\n" : "");
        return switch (fault) {
            case CLOSE_DELIMITED, CLOSE_DELIMITED_RESET -> fields + "connection: close\r\n\r\n";
            case CUT_CHUNKS -> fields + "transfer-encoding: chunked\r\n\r\n";
            case BOTH_LENGTHS ->
                fields + "transfer-encoding: chunked\r\ncontent-length: " + answer.length() + "\r\n\r\n";
            default -> fields + "content-length: " + answer.length() + "\r\n\r\n";
        };
    }

    private void duplicate() {
        String copy = head() + new String(answer.body(0, (int) answer.length()), StandardCharsets.ISO_8859_1);
        ByteBuf bytes = Unpooled.copiedBuffer(copy, StandardCharsets.ISO_8859_1);
        if (fault == Fault.STALE_ANSWER) {
            channel.eventLoop().schedule(() -> channel.writeAndFlush(bytes), STALE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        channel.write(Unpooled.wrappedBuffer(answer.body(0, (int) answer.length())));
        channel.write(bytes);
        sent = stopAt;
    }

    private void writeOn() {
        if (answer == null || silent || writing) {
            return;
        }
        writing = true;
        while (sent < stopAt && channel.isWritable()) {
            int count = (int) Math.min(WRITE_BYTES, stopAt - sent);
            ByteBuf part = Unpooled.wrappedBuffer(answer.body(sent, count));
            sent += count;
            channel.write(fault == Fault.CUT_CHUNKS ? chunk(part) : part);
            channel.flush();
        }
        channel.flush();
        writing = false;
        if (sent >= stopAt) {
            answer = null;
            end();
        }
    }

    private void end() {
        switch (fault) {
            case TRAILING_BYTES -> write("HTT");
            case CUT_BODY, CUT_CHUNKS, CLOSE_DELIMITED ->
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
        channel.writeAndFlush(text(bytes));
    }

    private static ByteBuf chunk(ByteBuf part) {
        String size = Integer.toHexString(part.readableBytes());
        return Unpooled.wrappedBuffer(text(size + "\r\n"), part, text("\r\n"));
    }

    private static ByteBuf text(String bytes) {
        return Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1);
    }
}
