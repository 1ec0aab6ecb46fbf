package org.arbutusfield.wire;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.Envelope;

/** One end of a connection that sends and receives raw bytes. */
final class RawPeer implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Socket socket;

    private RawPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    }

    static RawPeer accept(ServerSocket listener) throws IOException {
        return new RawPeer(listener.accept());
    }

    static RawPeer connect(int port) throws IOException {
        return new RawPeer(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    RawPeer sendBytes(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
        return this;
    }

    RawPeer sendFrame(byte[] content) throws IOException {
        return sendBytes(ByteBuffer.allocate(Integer.BYTES + content.length)
                .putInt(content.length)
                .put(content)
                .array());
    }

    RawPeer sendMessage(EnvelopeKind kind, long id, ControlMessage message) throws IOException {
        return sendFrame(
                EnvelopeCodec.encode(EnvelopeCodec.envelope(kind, id, message)).get());
    }

    /** The next envelope; empty when the other end closed. */
    Optional<Envelope> read() throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        int first = in.read();
        if (first < 0) {
            return Optional.empty();
        }
        byte[] rest = in.readNBytes(Integer.BYTES - 1);
        int length =
                ByteBuffer.allocate(Integer.BYTES).put((byte) first).put(rest).getInt(0);
        return Optional.of(EnvelopeCodec.decode(in.readNBytes(length)).get());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
