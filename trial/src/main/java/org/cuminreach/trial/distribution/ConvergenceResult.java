package org.cuminreach.trial.distribution;

import java.util.Locale;

/**
 * Measurements of a mesh of one size.
 *
 * @param nodes number of nodes
 * @param controls number of controls
 * @param p50Millis median time from the submission of a version until a node received it, in
 *     milliseconds
 * @param p99Millis 99th percentile of that time, in milliseconds
 * @param maxMillis longest such time, in milliseconds
 * @param idleBytesPerSecond bytes per node and second without changes, in both directions
 * @param configurationChangeBytes bytes received per node for one configuration change
 * @param targetChangeBytes bytes received per node for one change of a target
 * @param joinBytes bytes received per node when it joined without any state
 * @param idleCpuMillisPerSecond CPU time per second of the busiest control without changes, in
 *     milliseconds
 * @param changeCpuMillis CPU time of the busiest control for one configuration change, in
 *     milliseconds
 * @param maxResidentMebibytes largest resident memory of any control, in MiB
 * @param nodeRecoveryMillis time until all nodes, restarted simultaneously, had received the
 *     version
 * @param controlRecoveryMillis time from the kill of all controls until all nodes had received a
 *     new version
 * @param redirects total number of redirects of nodes
 */
record ConvergenceResult(
        int nodes,
        int controls,
        long p50Millis,
        long p99Millis,
        long maxMillis,
        double idleBytesPerSecond,
        double configurationChangeBytes,
        double targetChangeBytes,
        double joinBytes,
        double idleCpuMillisPerSecond,
        double changeCpuMillis,
        double maxResidentMebibytes,
        long nodeRecoveryMillis,
        long controlRecoveryMillis,
        long redirects) {
    static String heading() {
        return "nodes ctl  p50ms  p99ms  maxms idleB/s chgB/node tgtB/node joinB/node"
                + " cpuIdle ms/s cpuChg ms RSS MiB nodesRestart ms ctlRestart ms redirects";
    }

    String line() {
        return String.format(
                Locale.ROOT,
                "%5d %3d %6d %6d %6d %7.1f %9.1f %9.1f %10.0f %12.1f %9.1f %7.1f %12d %10d %9d",
                nodes,
                controls,
                p50Millis,
                p99Millis,
                maxMillis,
                idleBytesPerSecond,
                configurationChangeBytes,
                targetChangeBytes,
                joinBytes,
                idleCpuMillisPerSecond,
                changeCpuMillis,
                maxResidentMebibytes,
                nodeRecoveryMillis,
                controlRecoveryMillis,
                redirects);
    }
}
