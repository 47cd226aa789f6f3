package org.cuminreach.control.operator.console;

import static j2html.TagCreator.a;
import static j2html.TagCreator.body;
import static j2html.TagCreator.document;
import static j2html.TagCreator.each;
import static j2html.TagCreator.h1;
import static j2html.TagCreator.head;
import static j2html.TagCreator.html;
import static j2html.TagCreator.iff;
import static j2html.TagCreator.li;
import static j2html.TagCreator.link;
import static j2html.TagCreator.main;
import static j2html.TagCreator.meta;
import static j2html.TagCreator.nav;
import static j2html.TagCreator.title;
import static j2html.TagCreator.ul;

import j2html.tags.DomContent;
import java.util.List;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.settings.Fault;

/** The layout that all pages of the console share. */
final class ConsoleLayout {
    private static final int REFRESH_SECONDS = 2;
    private static final String STYLE_SHEET_PATH = "/console/style.css";

    private ConsoleLayout() {}

    static HttpAnswer page(int status, String heading, DomContent... content) {
        return render(status, heading, false, content);
    }

    static HttpAnswer autoRefreshPage(String heading, DomContent... content) {
        return render(200, heading, true, content);
    }

    static DomContent faultList(List<Fault> faults) {
        return ul(each(faults, fault -> li(fault.toString()).withClass("fault")));
    }

    private static HttpAnswer render(
            int status, String heading, boolean autoRefresh, DomContent... content) {
        String page =
                document(
                        html(
                                head(
                                        meta().withCharset("utf-8"),
                                        iff(
                                                autoRefresh,
                                                meta().attr("http-equiv", "refresh")
                                                        .withContent(
                                                                Integer.toString(REFRESH_SECONDS))),
                                        link().withRel("icon").withHref("data:,"),
                                        title(heading + " - cuminreach"),
                                        link().withRel("stylesheet").withHref(STYLE_SHEET_PATH)),
                                body(
                                        nav(
                                                a("Overview").withHref("/"),
                                                a("Document").withHref("/console/document"),
                                                a("Data centres").withHref("/console/evacuations"),
                                                a("History").withHref("/console/history")),
                                        main(h1(heading)).with(content))));
        return HttpAnswer.of(status, "text/html", page).setHeader("Cache-Control", "no-store");
    }
}
