import java.util.*;

/** Two of five controls are without power for 15 s; then two others lose their disks. */
final class MembersLost {
    public static void main(String[] args) throws Exception {
        Kit.begin(args[0]);
        List<Kit.Proc> controls = new ArrayList<>();
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            seeds.add(Kit.net + i + ":" + (Kit.port + 13));
        }
        for (int i = 1; i <= 5; i++) {
            controls.add(new Kit.Proc("core-" + i, "control", Kit.net + i, "z" + (1 + i % 3), seeds).start(true));
        }
        if (!Kit.put(controls, 0, Kit.configuration(3, "shop", 2, "safe"), 20_000)) {
            Kit.end(2, "the first configuration was not accepted");
        }
        // All five are voters well before this; the pages' traffic starts after 13 s.
        Kit.sleep(13_000 - (System.nanoTime() - Kit.START) / 1_000_000);
        List<Kit.Proc> dark = controls.subList(0, 2);
        List<Kit.Proc> others = controls.subList(2, 5);
        if (Kit.TROUBLE) {
            dark.forEach(Kit.Proc::powerOff);
        }
        Kit.sleep(Long.parseLong(System.getenv().getOrDefault("DARK_MILLIS", "16000")));
        List<Kit.Proc> reachable = Kit.TROUBLE ? others : controls;
        if (!Kit.put(reachable, 3, Kit.configuration(8, "shop", 3, "safe"), 8_000)) {
            Kit.end(2, "the second configuration was not accepted");
        }
        Kit.sleep(1_000);
        for (Kit.Proc wiped : others.subList(0, 2)) {
            wiped.powerOff();
            wiped.loseDisk();
        }
        Kit.sleep(1_000);
        for (Kit.Proc wiped : others.subList(0, 2)) {
            wiped.start(false);
        }
        if (Kit.TROUBLE) {
            for (Kit.Proc one : dark) {
                one.start(false);
            }
        }
        Kit.log("all machines are back");
        long back = Kit.now();
        long best = -1;
        Map<String, Integer> seen = new TreeMap<>();
        while (Kit.now() < back + 40_000) {
            for (Kit.Proc control : controls) {
                Kit.Answer answer = Kit.get(control);
                long version = Kit.version(answer);
                String text = control.name + " " + answer.status() + (version < 0 ? "" : " r" + version);
                if (seen.merge(text, 1, Integer::sum) == 1) {
                    Kit.log("Config.Get at " + text + " " + answer.note());
                }
                best = Math.max(best, version);
            }
            if (best >= 8) {
                Kit.end(0, "the acknowledged configuration r8 is read back "
                        + (Kit.now() - back) + " ms after all machines were back");
            }
            Kit.sleep(500);
        }
        Kit.log("answers to Config.Get: " + seen);
        boolean accepted = Kit.put(controls, 8, Kit.configuration(9, "shop", 2, "safe"), 4_000);
        Kit.end(1, "r8 was acknowledged and is not read back within 40 s after all machines were back (newest answer: r"
                + best + "); a new configuration is " + (accepted ? "accepted" : "not accepted either"));
    }
}
