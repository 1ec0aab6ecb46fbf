package org.arbutusfield.steering;

import java.util.List;
import java.util.Optional;

/**
 * Decides by the expected end of a request where it runs, or that it is refused at once.
 *
 * <p>Problem: a request for an object takes about 0.3 of the work at its home. At overload the home's queue grows until
 * requests are cut there, and the room that they took brings nothing. Elsewhere the request takes three times the room,
 * and what is known of the load elsewhere is old and incomplete.
 *
 * <p>Idea: the requests ahead, as stated, and this host's own since then, are work that the slots share; part of it is
 * done by the time the statement is used. The home is kept while the request ends there before its deadline and its
 * rank permits the wait. If it can't end in time there, the first upstream in the object's own order with much room
 * gets it. All others are refused at once. Moves because of a missed target, or because of rank, lost in comparison:
 * each takes the room of three requests at their homes, so that fewer end in time.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Without useful knowledge of the home there is no refusal and no other upstream.
 *   <li>A statement is useful only while some of the work that it told of can still be there.
 *   <li>No request is moved to an upstream of which more than {@code ROOM} is known to be occupied.
 *   <li>A request that finds a free slot at home is never refused because of its rank.
 * </ul>
 *
 * <p>Example: the home has 6 slots, 18 requests ahead and 0.25 s of work for each. 13 of them must end first, so a slot
 * is free after 0.54 s and the request ends after 0.79 s. With 1.5 s left it waits at home. With 0.8 s left it can't
 * end in 0.9 of that, and 0.84 s of work elsewhere is too long as well, so it is refused.
 */
final class ExpectedEnd {
    /**
     * Part of the slots' work that is taken as spent on the stated queue; new requests of other hosts take the rest.
     */
    private static final double DRAIN = 0.5;
    /** Age above which a statement is not used even if its queue could still be there; it comes from a slow machine. */
    private static final double MAX_AGE_SECONDS = 2;
    /** Time in which half of what a single slowness figure tells is lost; figures change several times a second. */
    private static final double SLOWNESS_SECONDS = 0.3;
    /** Part of the remaining time by which a request must end; the rest covers the way back. */
    private static final double SAFETY = 0.9;

    /**
     * Part of its slots up to which an alternative may be occupied. Work there takes three times as long, so a moved
     * request needs more than a free slot.
     */
    private static final double ROOM = 0.5;

    private static final double NANOS = 1e9;

    private ExpectedEnd() {}

    /** What to do with a request. */
    enum Action {
        /** Send it to the home, or to the upstream chosen without regard to load. */
        HOME,
        /** Send it to an alternative. */
        ALTERNATIVE,
        /** Refuse it: no upstream is known to end it in time. */
        REFUSE_DEADLINE,
        /** Refuse it: it would delay more urgent requests. */
        REFUSE_RANK
    }

    /**
     * A place where the request may run, in seconds.
     *
     * @param delay expected time until a slot is free
     * @param work expected time in the slot
     * @param known whether useful knowledge says so
     * @param load part of the slots that is occupied, above 1 with a queue; 0 if unknown
     */
    record Place(double delay, double work, boolean known, double load) {
        double end() {
            return delay + work;
        }
    }

    /**
     * A request, in seconds.
     *
     * @param remaining time left until the deadline
     * @param permittedWait longest wait at home that its rank permits
     */
    record Demand(double remaining, double permittedWait) {}

    /**
     * The decision.
     *
     * @param action what to do
     * @param alternative index of the chosen alternative; 0 for other actions
     * @param retryAfter seconds until the home's queue is expected to be short enough; 0 if not refused
     */
    record Verdict(Action action, int alternative, double retryAfter) {}

    /**
     * Returns what to expect at an upstream.
     *
     * @param known what is known of its load
     * @param meanWork usual work of one request there, in seconds
     * @param work usual work of this request there, in seconds
     */
    static Place place(Optional<UpstreamLoadKnowledge.Known> known, double meanWork, double work) {
        if (known.isEmpty()) {
            return new Place(0, work, false, 0);
        }
        UpstreamLoadKnowledge.Known load = known.get();
        double age = load.ageNanos() / NANOS;
        double weight = Math.exp(-age / SLOWNESS_SECONDS);
        double stated = load.meanSlowness() + weight * (load.lastSlowness() - load.meanSlowness());
        double slowness = Math.max(stated, load.leastSlowness());
        double each = meanWork * slowness / load.slots();
        double leftOfStated = Math.max(0, load.ahead() - DRAIN * age / each);
        double ahead = leftOfStated + load.sentSince();
        double delay = Math.max(0, ahead - load.slots() + 1) * each;
        boolean useful = age <= MAX_AGE_SECONDS && (leftOfStated > 0 || load.ahead() == 0);
        boolean cutLately = load.leastSlowness() > 1;
        double occupied = ((age <= MAX_AGE_SECONDS ? load.ahead() : 0) + load.sentSince()) / (double) load.slots();
        return new Place(useful ? delay : 0, work * slowness, useful || cutLately, occupied);
    }

    /** Returns true if a request stays at home whatever the alternatives are. */
    static boolean staysAtHome(Place home, Demand demand) {
        boolean inTime = home.end() <= demand.remaining() * SAFETY;
        boolean permitted = home.delay() <= 0 || home.delay() <= demand.permittedWait();
        return !home.known() || (inTime && permitted);
    }

    /**
     * Decides on a request.
     *
     * @param home the home, or the upstream chosen without regard to load
     * @param alternatives further upstreams in the object's order
     * @param demand the request
     */
    static Verdict decide(Place home, List<Place> alternatives, Demand demand) {
        double latest = demand.remaining() * SAFETY;
        boolean inTime = home.end() <= latest;
        if (staysAtHome(home, demand)) {
            return new Verdict(Action.HOME, 0, 0);
        }
        for (int i = 0; i < alternatives.size() && !inTime; i++) {
            Place place = alternatives.get(i);
            if (place.load() <= ROOM && place.end() <= latest) {
                return new Verdict(Action.ALTERNATIVE, i, 0);
            }
        }
        double admissible = Math.max(0, Math.min(demand.permittedWait(), latest - home.work()));
        return new Verdict(
                inTime ? Action.REFUSE_RANK : Action.REFUSE_DEADLINE, 0, Math.max(0, home.delay() - admissible));
    }
}
