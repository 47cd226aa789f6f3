package org.cuminreach.control.operator.console;

import static j2html.TagCreator.div;
import static j2html.TagCreator.each;
import static j2html.TagCreator.h2;
import static j2html.TagCreator.iff;
import static j2html.TagCreator.p;
import static j2html.TagCreator.table;
import static j2html.TagCreator.td;
import static j2html.TagCreator.th;
import static j2html.TagCreator.tr;

import j2html.tags.DomContent;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cuminreach.control.node.NodeSessionManager;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.wire.generated.NodeHolding;

/** Renders the state of the mesh: controls, convergence, rollouts and targets. */
final class OverviewPage {
    private static final int PERCENT = 100;
    private static final int PER_MILLE_PER_PERCENT = 10;
    private static final int MAX_LISTED_LAGGING_NODES = 20;

    private final String control;
    private final ReplicaDriver replica;
    private final NodeSessionManager sessions;

    OverviewPage(String control, ReplicaDriver replica, NodeSessionManager sessions) {
        this.control = control;
        this.replica = replica;
        this.sessions = sessions;
    }

    HttpAnswer render(long nowMillis) {
        MeshConfiguration configuration = replica.configuration();
        return ConsoleLayout.autoRefreshPage(
                "Mesh",
                iff(
                        !replica.hasQuorum(nowMillis),
                        p("This control has no quorum: what it shows may be old, and it accepts"
                                        + " nothing.")
                                .withClass("warning")),
                iff(
                        !configuration.evacuatedDataCentres().isEmpty(),
                        p("Evacuated: " + String.join(", ", configuration.evacuatedDataCentres()))
                                .withClass("warning")),
                controls(),
                h2("Configuration " + configuration.version()),
                convergence(configuration.version()),
                h2("Rollouts"),
                rollouts(configuration.rollouts()),
                h2("Targets"),
                targets(sessions.announcements()));
    }

    private DomContent controls() {
        String leader = replica.leader().orElse("none");
        return table(
                tr(th("Control"), th("Address"), th("Role")),
                each(
                        replica.membership().members(),
                        member ->
                                tr(
                                        td(member.id() + (isSelf(member) ? " (this one)" : "")),
                                        td(member.address().toString()),
                                        td(role(member, leader)))));
    }

    private boolean isSelf(Member member) {
        return member.id().equals(replica.self()) || member.id().equals(control);
    }

    private static String role(Member member, String leader) {
        if (member.id().equals(leader)) {
            return "leader";
        }
        return member.voter() ? "follower" : "learner";
    }

    private DomContent convergence(long version) {
        Map<String, NodeHolding> holdings = sessions.holdings();
        List<String> lagging =
                holdings.values().stream()
                        .filter(holding -> holding.getVersion() < version)
                        .map(NodeHolding::getNode)
                        .toList();
        int current = holdings.size() - lagging.size();
        int percent = holdings.isEmpty() ? 0 : current * PERCENT / holdings.size();
        String names =
                String.join(
                        ", ",
                        lagging.subList(0, Math.min(MAX_LISTED_LAGGING_NODES, lagging.size())));
        return div(
                p(current + " of " + holdings.size() + " nodes hold it"),
                progressBar(percent, false),
                iff(!lagging.isEmpty(), p("Lagging: " + names).withClass("warning")));
    }

    private static DomContent rollouts(List<RolloutProgress> rollouts) {
        if (rollouts.isEmpty()) {
            return p("The document asks for none.");
        }
        return table(
                tr(
                        th("Service"),
                        th("Version"),
                        th("State"),
                        th("Share"),
                        th("Since"),
                        th("Reason")),
                each(rollouts, OverviewPage::rollout));
    }

    private static DomContent rollout(RolloutProgress progress) {
        boolean rolledBack = progress.phase() == RolloutPhase.TAKEN_BACK;
        int percent = rolledBack ? PERCENT : progress.sharePerMille() / PER_MILLE_PER_PERCENT;
        return tr(
                td(progress.service()),
                td(progress.version()),
                td(progress.phase().name().toLowerCase(Locale.ROOT).replace('_', ' ')),
                td(p(progress.sharePerMille() + " per mille"), progressBar(percent, rolledBack)),
                td(Instant.ofEpochMilli(progress.steppedMillis()).toString()),
                td(progress.reason()));
    }

    private static DomContent targets(List<Announcement> announcements) {
        List<Announcement> presentTargets =
                announcements.stream()
                        .filter(announcement -> announcement.phase() != TargetPhase.GONE)
                        .sorted(Comparator.comparing(Announcement::node))
                        .toList();
        return table(
                tr(th("Node"), th("Data centre"), th("Service"), th("Version"), th("State")),
                each(
                        presentTargets,
                        target ->
                                tr(
                                        td(target.node()),
                                        td(target.dataCentre()),
                                        td(target.service()),
                                        td(target.version()),
                                        td(target.phase().name().toLowerCase(Locale.ROOT)))));
    }

    private static DomContent progressBar(int percent, boolean failed) {
        return div(div().withStyle("width:" + percent + "%").withCondClass(failed, "bad"))
                .withClass("bar");
    }
}
