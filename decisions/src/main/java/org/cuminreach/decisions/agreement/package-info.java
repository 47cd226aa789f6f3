/**
 * Raft consensus among the control VMs as a pure state machine: leader election with pre-vote, a
 * leader that steps down when it loses its quorum, commit after a majority has synced, single-voter
 * membership changes, snapshots, and reads confirmed by a quorum. {@link
 * org.cuminreach.decisions.agreement.Replica} is the entry point.
 */
package org.cuminreach.decisions.agreement;
