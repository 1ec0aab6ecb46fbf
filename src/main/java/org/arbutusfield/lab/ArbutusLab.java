package org.arbutusfield.lab;

import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.SystemTimer;

/**
 * The program {@code arbutuslab}: runs stand-ins. Usage: {@code store ADDRESS PORT} or {@code upstream ADDRESS PORT
 * NAME SLOTS MILLIS}.
 */
public final class ArbutusLab {
    private ArbutusLab() {}

    /** Runs the program until it is ended. */
    public static void main(String[] args) throws InterruptedException {
        NioEventLoopGroup group = new NioEventLoopGroup();
        SystemTimer timer = SystemTimer.start();
        InetSocketAddress address = new InetSocketAddress(args[1], Integer.parseInt(args[2]));
        Either<Failure, ? extends AutoCloseable> started = args[0].equals("store")
                ? StoreStandIn.bind(group, address, timer)
                : UpstreamStandIn.bind(
                        group,
                        address,
                        args[3],
                        Integer.parseInt(args[4]),
                        Duration.ofMillis(Long.parseLong(args[5])),
                        timer);
        if (started.isLeft()) {
            System.err.println(started.getLeft());
            System.exit(1);
        }
        Thread.currentThread().join();
    }
}
