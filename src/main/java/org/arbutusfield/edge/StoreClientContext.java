package org.arbutusfield.edge;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;

/**
 * What the client of the store works with.
 *
 * @param group event loops
 * @param registry takes metrics
 * @param settings the host's settings
 */
public record StoreClientContext(EventLoopGroup group, MeterRegistry registry, EdgeSettings settings) {}
