package org.cuminreach.control.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.Map;
import org.cuminreach.control.node.Convergence;
import org.cuminreach.control.node.NodeSessionManager;
import org.cuminreach.control.quota.QuotaService;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.configuration.HistoryEntry;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.quota.QuotaUse;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.wire.generated.NodeHolding;

/** Answers the reads of operators: status, current document, history and convergence. */
public final class OperatorView {
    private static final int MAX_LISTED_LAGGING_NODES = 50;
    private static final int MAX_LISTED_TENANTS = 100;

    private final String name;
    private final ReplicaDriver replica;
    private final NodeSessionManager sessions;
    private final QuotaService quotas;

    private OperatorView(
            String name, ReplicaDriver replica, NodeSessionManager sessions, QuotaService quotas) {
        this.name = name;
        this.replica = replica;
        this.sessions = sessions;
        this.quotas = quotas;
    }

    /**
     * Creates the view of a control.
     *
     * @param name name of the control
     * @param replica holds the committed configuration
     * @param sessions sessions of the nodes
     * @param quotas quotas at this control
     * @return the view
     */
    public static OperatorView create(
            String name, ReplicaDriver replica, NodeSessionManager sessions, QuotaService quotas) {
        return new OperatorView(name, replica, sessions, quotas);
    }

    /**
     * Returns the state of the mesh as this control sees it.
     *
     * @return a JSON object as text
     */
    public String statusJson() {
        long nowMillis = ProcessClock.monotonicMillis();
        MeshConfiguration configuration = replica.configuration();
        ObjectNode status = OperatorJson.newObject();
        status.put("control", name)
                .put("identity", replica.self())
                .put("leader", replica.leader().orElse(""))
                .put("term", replica.term())
                .put("hasQuorum", replica.hasQuorum(nowMillis))
                .put("commitIndex", replica.commitIndex())
                .put("version", configuration.version())
                .put("documentVersion", configuration.documentVersion())
                .put("sessions", sessions.sessionCount());
        Convergence convergence =
                sessions.convergence(configuration.version(), MAX_LISTED_LAGGING_NODES);
        status.put("nodesKnown", convergence.nodes())
                .put("nodesHolding", convergence.holding())
                .put("withheldLeases", sessions.withheldLeases());
        putLagging(status.putArray("lagging"), convergence);
        putMembers(status.putArray("members"));
        putRollouts(status.putArray("rollouts"), configuration);
        configuration.evacuatedDataCentres().forEach(status.putArray("evacuated")::add);
        putTargets(status.putArray("targets"));
        putNodes(status.putArray("nodes"), configuration.version());
        status.put("quotaShare", quotas.share());
        putTenants(status.putArray("tenants"));
        return status.toPrettyString() + "\n";
    }

    ReplicaDriver replica() {
        return replica;
    }

    HttpAnswer status() {
        return HttpAnswer.of(200, "application/json", statusJson());
    }

    HttpAnswer currentDocument() {
        MeshConfiguration configuration = replica.configuration();
        return HttpAnswer.of(200, "application/json", configuration.documentText())
                .setHeader("X-Cuminreach-Document-Version", configuration.documentVersion());
    }

    HttpAnswer history() {
        ObjectNode body = OperatorJson.newObject();
        ArrayNode entries = body.putArray("history");
        for (HistoryEntry entry : replica.history()) {
            entries.addObject()
                    .put("version", entry.version())
                    .put("atMillis", entry.atMillis())
                    .put("actor", entry.actor())
                    .put("event", entry.event());
        }
        return OperatorJson.answer(200, body);
    }

    HttpAnswer convergence(long version) {
        Convergence convergence = sessions.convergence(version, MAX_LISTED_LAGGING_NODES);
        ObjectNode body = OperatorJson.newObject();
        body.put("version", convergence.version())
                .put("nodes", convergence.nodes())
                .put("holding", convergence.holding())
                .put("everywhere", convergence.hasConverged());
        putLagging(body.putArray("lagging"), convergence);
        return OperatorJson.answer(200, body);
    }

    private static void putLagging(ArrayNode lagging, Convergence convergence) {
        for (Convergence.LaggingNode lag : convergence.lagging()) {
            lagging.addObject()
                    .put("node", lag.node())
                    .put("heldVersion", lag.heldVersion())
                    .put("laggingMillis", lag.laggingMillis());
        }
    }

    private void putMembers(ArrayNode members) {
        for (Member member : replica.membership().members()) {
            members.addObject()
                    .put("identity", member.id())
                    .put("address", member.address().toString())
                    .put("voter", member.voter());
        }
    }

    private static void putRollouts(ArrayNode rollouts, MeshConfiguration configuration) {
        for (RolloutProgress progress : configuration.rollouts()) {
            rollouts.addObject()
                    .put("service", progress.service())
                    .put("version", progress.version())
                    .put("phase", progress.phase().name())
                    .put("sharePerMille", progress.sharePerMille())
                    .put("startedMillis", progress.startedMillis())
                    .put("steppedMillis", progress.steppedMillis())
                    .put("reason", progress.reason());
        }
    }

    private void putTargets(ArrayNode targets) {
        for (Announcement announcement : sessions.announcements()) {
            targets.addObject()
                    .put("node", announcement.node())
                    .put("service", announcement.service())
                    .put("version", announcement.version())
                    .put("dataCentre", announcement.dataCentre())
                    .put("phase", announcement.phase().name());
        }
    }

    private void putNodes(ArrayNode nodes, long version) {
        for (NodeHolding holding : sessions.holdings().values()) {
            nodes.addObject()
                    .put("node", holding.getNode())
                    .put("version", holding.getVersion())
                    .put("appliedMillis", holding.getApplied())
                    .put("current", holding.getVersion() >= version);
        }
    }

    /** Lists the tenants with the most refused calls first, then those with the most calls. */
    private void putTenants(ArrayNode tenants) {
        quotas.uses().entrySet().stream()
                .sorted(
                        Map.Entry.comparingByValue(
                                Comparator.comparingLong(QuotaUse::refused)
                                        .thenComparingDouble(QuotaUse::callsPerSecond)
                                        .reversed()))
                .limit(MAX_LISTED_TENANTS)
                .forEach(
                        entry ->
                                tenants.addObject()
                                        .put("tenant", entry.getKey())
                                        .put("callsPerSecond", entry.getValue().callsPerSecond())
                                        .put("ratePerSecond", entry.getValue().ratePerSecond())
                                        .put("tokens", entry.getValue().tokens())
                                        .put("granted", entry.getValue().granted())
                                        .put("refused", entry.getValue().refused()));
    }
}
