package org.arbutusfield.share;

/**
 * What the lender has lent of one team's limit, for operators.
 *
 * @param team name of the team
 * @param limit limit that the lender knows
 * @param hosts hosts that have reported lately
 * @param rate rate that is counted as lent, in requests per second
 * @param burst burst that is counted as lent
 * @param reserve tokens that the lender holds
 * @param takingOver true while shares of a predecessor may be in use
 */
public record LentView(
        String team, TeamLimit limit, int hosts, double rate, double burst, double reserve, boolean takingOver) {}
