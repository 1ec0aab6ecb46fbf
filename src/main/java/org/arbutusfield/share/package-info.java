/**
 * One limit per team over all hosts. The leader grants each host a share of a team's rate and burst under a lease.
 *
 * <p>Stages: {@link org.arbutusfield.share.ShareClient} counts requests with one
 * {@link org.arbutusfield.share.HostAllowance} per team and reports demand; {@link org.arbutusfield.share.ShareServer}
 * answers, while its host leads, with one {@link org.arbutusfield.share.TeamLedger} per team.
 */
package org.arbutusfield.share;
