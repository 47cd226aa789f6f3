package org.cuminreach.control;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.control.storage.DataFolderInitialiser;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.runtime.log.LogFormat;
import org.cuminreach.runtime.log.LogLevel;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.MeshBounds;
import org.slf4j.LoggerFactory;

class ControlProcessStopTest {
    private static final String NAME = "control-one";

    @Example
    void stopIsLogged() throws Exception {
        Path folder = Files.createTempDirectory("stop");
        Address replica = freeAddress();
        try (DataFolder data = DataFolder.open(folder)) {
            DataFolderInitialiser.initialise(data, NAME, List.of(new Member(NAME, replica, true)));
        }
        ControlProcess control =
                ControlProcess.start(
                        new ControlSettings(
                                NAME,
                                "here",
                                folder,
                                replica,
                                freeAddress(),
                                freeAddress(),
                                freeAddress(),
                                List.of(new ControlSettings.Peer(NAME, replica)),
                                false,
                                MeshBounds.defaults(),
                                LogSettings.of(LogLevel.INFO, LogFormat.TEXT)));
        Logger logger = (Logger) LoggerFactory.getLogger(ControlProcess.class);
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        logger.addAppender(lines);

        control.stop();

        logger.detachAppender(lines);
        List<String> written = lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
        assertThat(written).contains("event=control_stopped name=control-one");
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }
}
