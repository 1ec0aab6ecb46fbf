package org.arbutusfield.edge;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;

/**
 * The arguments for creating the client of the store.
 *
 * @param group event loops
 * @param registry registry for the client's metrics
 * @param settings settings of the host
 */
public record StoreClientContext(EventLoopGroup group, MeterRegistry registry, EdgeSettings settings) {}
