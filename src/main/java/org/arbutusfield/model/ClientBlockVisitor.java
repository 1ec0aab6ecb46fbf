package org.arbutusfield.model;

/** Receives client blocks in order of address, wider blocks first. */
@FunctionalInterface
public interface ClientBlockVisitor {

    /**
     * Called once per block.
     *
     * @param prefixBits first address of the block, as 32 bits
     * @param length prefix length in bits, 0 to 32
     * @param site name of the site nearest to the block
     */
    void visit(int prefixBits, int length, String site);
}
