package org.arbutusfield.model;

/** Visitor of client blocks in order of first address, shorter prefixes first. */
@FunctionalInterface
public interface ClientBlockVisitor {

    /**
     * Visits one block.
     *
     * @param prefixBits first address of the block, as 32 bits
     * @param length prefix length in bits, 0 to 32
     * @param site name of the site nearest to the block
     */
    void visit(int prefixBits, int length, String site);
}
