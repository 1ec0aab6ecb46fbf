package org.arbutusfield.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.DefaultChannelProgressivePromise;

/**
 * The write of a request's head, which is the first that a connection sends of the request: while none of the head was
 * handed to the network, nothing of the request was. Confined to the channel's event loop.
 */
final class WriteProgress extends DefaultChannelProgressivePromise {
    private boolean begun;

    WriteProgress(Channel channel) {
        super(channel);
    }

    /** True once any byte was handed to the network. */
    boolean begun() {
        return begun;
    }

    @Override
    public boolean tryProgress(long progress, long total) {
        begun |= progress > 0;
        return super.tryProgress(progress, total);
    }

    @Override
    public boolean trySuccess(Void result) {
        begun = true;
        return super.trySuccess(null);
    }
}
