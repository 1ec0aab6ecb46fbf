package org.arbutusfield.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalDouble;
import org.arbutusfield.state.UpstreamStart;
import org.junit.jupiter.api.Test;

/** What a host takes for the limit, from its own responses and from the leader's answers. */
class LimitKnowledgeTest {
    private static final UpstreamStart UPSTREAM = new UpstreamStart("u", 7);
    private static final Optional<LimitVersion> VERSION = Optional.of(new LimitVersion(1, 5));

    private final LimitKnowledge knowledge = LimitKnowledge.create();

    private static UpstreamLimit told(double perSecond) {
        return new UpstreamLimit(UPSTREAM, OptionalDouble.of(perSecond), VERSION);
    }

    private static UpstreamLimit toldNone() {
        return new UpstreamLimit(UPSTREAM, OptionalDouble.empty(), VERSION);
    }

    private OptionalDouble believed() {
        return knowledge.limit(UPSTREAM).perSecond();
    }

    @Test
    void limitThatIsHeardCountsUntilTheLeaderTellsOtherwise() {
        knowledge.heard(UPSTREAM, 3, 0);
        assertThat(believed()).hasValue(3);
        assertThat(knowledge.limit(UPSTREAM).version()).isEmpty();
        knowledge.told(UPSTREAM, told(1), knowledge.heardCount(UPSTREAM));
        knowledge.heard(UPSTREAM, 3, 0);
        assertThat(believed()).hasValue(1);
        knowledge.heard(UPSTREAM, 0.5, 0);
        assertThat(believed()).hasValue(0.5);
        assertThat(knowledge.limit(UPSTREAM).version()).isEmpty();
    }

    /** Guards against an answer that was given before the leader knew what this host has heard since. */
    @Test
    void answerToAnEarlierQuestionDoesNotReplaceWhatWasHeardSince() {
        knowledge.heard(UPSTREAM, 3, 0);
        long asked = knowledge.heardCount(UPSTREAM);
        knowledge.heard(UPSTREAM, 1, 0);
        knowledge.told(UPSTREAM, toldNone(), asked);
        knowledge.told(UPSTREAM, told(8), asked);
        assertThat(believed()).hasValue(1);
        knowledge.told(UPSTREAM, toldNone(), knowledge.heardCount(UPSTREAM));
        assertThat(believed()).isEmpty();
    }

    @Test
    void announcementBeginsALimitAndChangesNone() {
        knowledge.announced(told(2));
        assertThat(believed()).hasValue(2);
        knowledge.announced(told(8));
        assertThat(believed()).hasValue(2);
    }

    /** A leader of an older build tells nothing; a late response still doesn't end the limit. */
    @Test
    void withoutAnAnswerOnlyAResponseToALaterRequestEndsTheLimit() {
        knowledge.heard(UPSTREAM, 2, 100);
        knowledge.notNamed(UPSTREAM, 99);
        assertThat(believed()).hasValue(2);
        knowledge.notNamed(UPSTREAM, 101);
        assertThat(believed()).isEmpty();
    }

    @Test
    void limitBelongsToOneStartOfTheUpstream() {
        knowledge.heard(UPSTREAM, 2, 0);
        assertThat(knowledge.limit(new UpstreamStart("u", 8)).perSecond()).isEmpty();
    }
}
