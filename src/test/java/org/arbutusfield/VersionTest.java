package org.arbutusfield;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class VersionTest {
    @Test
    void releaseHasThreeNumbers() {
        assertThat(Version.RELEASE).matches("\\d+\\.\\d+\\.\\d+");
    }
}
