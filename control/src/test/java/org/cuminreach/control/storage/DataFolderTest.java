package org.cuminreach.control.storage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.agreement.Payload;
import org.cuminreach.decisions.agreement.Snapshot;

class DataFolderTest {
    private static final String ENTRIES = "entries-0";

    /** The state that a load must return, in terms of indexes and terms. */
    private static final class Model {
        private long term;
        private long snapshotIndex;
        private long snapshotTerm;
        private final List<Long> terms = new ArrayList<>();

        private Model copy() {
            Model copy = new Model();
            copy.term = term;
            copy.snapshotIndex = snapshotIndex;
            copy.snapshotTerm = snapshotTerm;
            copy.terms.addAll(terms);
            return copy;
        }

        private String describe() {
            return term + "/" + snapshotIndex + ":" + snapshotTerm + "/" + terms;
        }

        private static String describe(DurableState state) {
            Model model = new Model();
            model.term = state.term();
            model.snapshotIndex = state.snapshot().map(Snapshot::lastIndex).orElse(0L);
            model.snapshotTerm = state.snapshot().map(Snapshot::lastTerm).orElse(0L);
            state.entries().forEach(entry -> model.terms.add(entry.term()));
            return model.describe();
        }
    }

    @Example
    void failedSaveSucceedsOnceDiskHasSpace() throws IOException {
        FakeFolder files = new FakeFolder(5);
        DataFolder folder = DataFolder.open(files);
        folder.load();
        folder.saveEntries(List.of(new LogEntry(1, 1, new Payload.NoOp())));
        List<LogEntry> next = List.of(new LogEntry(2, 1, new Payload.NoOp()));
        files.failWrites(true);
        for (int attempt = 0; attempt < 3; attempt++) {
            assertThat(isWriteFailure(folder, next)).isTrue();
        }
        files.failWrites(false);
        folder.saveEntries(next);

        assertThat(DataFolder.open(files).load().entries()).hasSize(2);
    }

    private static boolean isWriteFailure(DataFolder folder, List<LogEntry> entries)
            throws IOException {
        try {
            folder.saveEntries(entries);
            return false;
        } catch (WriteFailedException failure) {
            return true;
        }
    }

    @Property(tries = 1_000, seed = "51", shrinking = ShrinkingMode.OFF)
    void crashLosesNoSyncedData(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        FakeFolder files = new FakeFolder(seed);
        // After a crash the folder must hold all completed saves and possibly the interrupted one.
        Model saved = new Model();
        for (int restart = 0; restart < 6; restart++) {
            DataFolder folder = DataFolder.open(files);
            assertThat(Model.describe(folder.load())).isEqualTo(saved.describe());
            files.crashAfter(random.nextInt(30));
            Model next = saved;
            try {
                for (int save = 0; save < 20; save++) {
                    saved = next;
                    next = saved.copy();
                    saveRandomly(folder, next, random);
                }
                saved = next;
            } catch (FakeFolder.CrashException crash) {
                files.restart();
                String found = Model.describe(DataFolder.open(files).load());
                assertThat(found).isAnyOf(saved.describe(), next.describe());
                saved = found.equals(next.describe()) ? next : saved;
            }
        }
    }

    private static void saveRandomly(DataFolder folder, Model model, Random random)
            throws IOException {
        model.term++;
        switch (random.nextInt(5)) {
            case 0 -> folder.saveVote(model.term, Optional.of("a"));
            case 1 -> {
                model.term--;
                int kept = random.nextInt(model.terms.size() + 1);
                boolean keepLater = random.nextBoolean();
                model.snapshotIndex += kept;
                model.snapshotTerm = random.nextInt(9);
                model.terms.subList(0, keepLater ? kept : model.terms.size()).clear();
                folder.saveSnapshot(
                        new Snapshot(
                                model.snapshotIndex,
                                model.snapshotTerm,
                                Membership.empty(),
                                new byte[300]),
                        keepLater);
            }
            default -> {
                model.term--;
                int kept = Math.max(0, model.terms.size() - random.nextInt(3));
                model.terms.subList(kept, model.terms.size()).clear();
                List<LogEntry> added = new ArrayList<>();
                for (int count = 0; count <= random.nextInt(3); count++) {
                    long term = random.nextInt(9);
                    model.terms.add(term);
                    added.add(entry(model.snapshotIndex + model.terms.size(), term));
                }
                folder.saveEntries(added);
            }
        }
    }

    @Property(tries = 500, seed = "52", shrinking = ShrinkingMode.OFF)
    void damageBeforeLastRecordIsReported(@ForAll long seed) throws IOException {
        FakeFolder files = folderWithRecords(seed, 5);
        int lastRecord = files.bytes(ENTRIES).length / 5 * 4;
        files.damage(ENTRIES, new Random(seed).nextInt(lastRecord));

        assertThat(loadError(files)).contains(ENTRIES);
    }

    @Property(tries = 200, seed = "53", shrinking = ShrinkingMode.OFF)
    void tornOrZeroFilledEndIsTruncatedOnce(@ForAll long seed) throws IOException {
        FakeFolder files = folderWithRecords(seed, 3);
        int intactLength = files.bytes(ENTRIES).length;
        files.append(ENTRIES, EntryRecord.encode(List.of(entry(4, 1))));
        files.restart();
        DurableState state = DataFolder.open(files).load();

        int loaded = state.entries().size();
        assertThat(loaded).isAnyOf(3, 4);
        assertWithMessage("length without the torn end")
                .that(files.bytes(ENTRIES).length)
                .isEqualTo(intactLength / 3 * loaded);
        assertThat(DataFolder.open(files).load().entries()).hasSize(loaded);
    }

    @Example
    void damagedLengthBeforeLastRecordIsNotTornEnd() throws IOException {
        FakeFolder files = folderWithRecords(1, 3);
        files.damage(ENTRIES, files.bytes(ENTRIES).length / 3 + 4);
        assertThat(loadError(files)).contains("before valid entries");
    }

    @Example
    void damagedSnapshotOrVoteIsReported() throws IOException {
        FakeFolder files = folderWithRecords(1, 3);
        DataFolder folder = DataFolder.open(files);
        folder.load();
        folder.saveVote(3, Optional.of("a"));
        folder.saveSnapshot(new Snapshot(2, 1, Membership.empty(), new byte[50]), true);
        files.damage("snapshot", 40);
        assertThat(loadError(files)).contains("snapshot");
        files.damage("snapshot", 40);
        assertThat(DataFolder.open(files).load().entries()).hasSize(1);
        files.damage("vote", 9);
        assertThat(loadError(files)).contains("vote");
    }

    @Example
    void reservedSpaceIsKeptFree() throws IOException {
        FakeFolder files = new FakeFolder(1);
        DataFolder folder = DataFolder.open(files);
        files.setUsableBytes(DataFolder.MIN_RESERVE_BYTES + 10);
        assertThat(folder.hasSpaceFor(10)).isTrue();
        assertThat(folder.hasSpaceFor(11)).isFalse();
    }

    @Example
    void reservedSpaceCoversNextSnapshotAndEntryFile() throws IOException {
        FakeFolder files = new FakeFolder(1);
        DataFolder folder = DataFolder.open(files);
        folder.load();
        int bytes = 300_000;
        folder.saveEntries(List.of(new LogEntry(1, 1, new Payload.Command(new byte[bytes]))));
        files.setUsableBytes(DataFolder.MIN_RESERVE_BYTES + 2 * bytes);
        assertThat(folder.hasSpaceFor(1)).isFalse();
        files.setUsableBytes(DataFolder.MIN_RESERVE_BYTES + 3 * bytes);
        assertThat(folder.hasSpaceFor(1)).isTrue();
    }

    @Example
    void localFolderKeepsSavedData() throws IOException {
        Path path = Files.createTempDirectory("data-folder");
        try (DataFolder folder = DataFolder.open(path)) {
            folder.load();
            folder.saveIdentity("a-1");
            folder.saveVote(4, Optional.of("b"));
            folder.saveEntries(List.of(entry(1, 1), entry(2, 1)));
            folder.saveSnapshot(new Snapshot(1, 1, Membership.empty(), new byte[] {7}), true);
            folder.saveEntries(List.of(entry(2, 4), entry(3, 4)));
        }
        try (DataFolder folder = DataFolder.open(path)) {
            DurableState state = folder.load();
            assertThat(folder.identity()).hasValue("a-1");
            assertThat(state.vote()).hasValue("b");
            assertThat(state.snapshot().orElseThrow().state()).isEqualTo(new byte[] {7});
            assertThat(state.entries().stream().map(LogEntry::term)).containsExactly(4L, 4L);
        }
    }

    private static String loadError(FakeFolder files) throws IOException {
        try {
            DataFolder.open(files).load();
            return "loaded";
        } catch (CorruptDataException corrupt) {
            return corrupt.getMessage();
        }
    }

    private static FakeFolder folderWithRecords(long seed, int records) throws IOException {
        FakeFolder files = new FakeFolder(seed);
        DataFolder folder = DataFolder.open(files);
        folder.load();
        for (int index = 1; index <= records; index++) {
            folder.saveEntries(List.of(entry(index, 1)));
        }
        return files;
    }

    private static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, new Payload.Command(new byte[] {1, 2, 3}));
    }
}
