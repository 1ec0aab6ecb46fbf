package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LoopThreadsTest {
    /** Guards against a process that hangs for good, because nobody learns that its event loop has ended. */
    @Test
    void endOfAnEventLoopIsTold() throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        NioEventLoopGroup group = new NioEventLoopGroup(1, LoopThreads.notifying(ended::countDown));
        group.submit(() -> {}).sync();
        assertThat(ended.getCount()).isEqualTo(1);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        assertThat(ended.await(5, TimeUnit.SECONDS)).isTrue();
    }
}
