package org.cuminreach.wire;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.membership.TargetWarmth;
import org.cuminreach.wire.generated.AnnouncementBatch;
import org.cuminreach.wire.generated.AnnouncementStruct;
import org.cuminreach.wire.generated.Frame;

/** Converts between announcements of targets and their Thrift structs. */
public final class AnnouncementCodec {
    private AnnouncementCodec() {}

    /**
     * Converts announcements to a frame.
     *
     * @param announcements the announcements
     * @return the frame
     */
    public static Frame toFrame(Collection<Announcement> announcements) {
        return Frame.announcements(
                new AnnouncementBatch(
                        announcements.stream().map(AnnouncementCodec::toStruct).toList()));
    }

    /**
     * Converts all announcements that a control knows to a frame that is marked as complete.
     *
     * @param announcements all announcements
     * @return the frame
     */
    public static Frame toCompleteFrame(Collection<Announcement> announcements) {
        Frame frame = toFrame(announcements);
        frame.getAnnouncements().setComplete(true);
        return frame;
    }

    /**
     * Converts a batch to its announcements.
     *
     * @param batch the batch
     * @return the announcements
     * @throws MalformedFrameException when an address, a phase or a number of slots is invalid
     */
    public static List<Announcement> toAnnouncements(AnnouncementBatch batch)
            throws MalformedFrameException {
        List<Announcement> announcements = new ArrayList<>();
        for (AnnouncementStruct struct : batch.getAnnouncements()) {
            announcements.add(toAnnouncement(struct));
        }
        return announcements;
    }

    private static AnnouncementStruct toStruct(Announcement announcement) {
        AnnouncementStruct struct =
                new AnnouncementStruct(
                        announcement.node(),
                        announcement.incarnation(),
                        announcement.sequence(),
                        announcement.service(),
                        announcement.version(),
                        announcement.dataCentre(),
                        announcement.inbound().toString(),
                        announcement.slots(),
                        announcement.phase().ordinal());
        if (announcement.coldMillis() > 0) {
            struct.setColdMillis(announcement.coldMillis());
        }
        return struct.setInstance(announcement.instance());
    }

    private static Announcement toAnnouncement(AnnouncementStruct struct)
            throws MalformedFrameException {
        TargetPhase[] phases = TargetPhase.values();
        boolean valid =
                struct.getPhase() >= 0
                        && struct.getPhase() < phases.length
                        && struct.getSlots() > 0;
        if (!valid) {
            throw new MalformedFrameException("invalid phase or slots in announcement: " + struct);
        }
        return new Announcement(
                struct.getNode(),
                struct.getIncarnation(),
                struct.getSequence(),
                struct.getServiceName(),
                struct.getVersion(),
                struct.getDataCentre(),
                RaftCodec.toAddress(struct.getInbound()),
                struct.getSlots(),
                phases[struct.getPhase()],
                struct.isSetInstance() ? struct.getInstance() : struct.getNode(),
                struct.isSetColdMillis()
                        ? Math.clamp(struct.getColdMillis(), 0, TargetWarmth.MAX_COLD_MILLIS)
                        : 0);
    }
}
