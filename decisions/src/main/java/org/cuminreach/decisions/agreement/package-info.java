/**
 * The replicated log of the control VMs as a pure state machine: terms, election with pre-vote, a
 * leader that steps down without its quorum, commit after a majority has synced, membership changed
 * one voter at a time, snapshots, and reads confirmed by a quorum. {@link
 * org.cuminreach.decisions.agreement.Replica} is the entry point.
 */
package org.cuminreach.decisions.agreement;
