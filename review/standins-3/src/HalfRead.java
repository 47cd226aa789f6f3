import java.nio.charset.StandardCharsets;
import java.util.*;

/** The operator sends configurations that cannot be read in full. */
final class HalfRead {
    public static void main(String[] args) throws Exception {
        Kit.begin(args[0]);
        List<Kit.Proc> controls = new ArrayList<>();
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            seeds.add(Kit.net + i + ":" + (Kit.port + 13));
        }
        for (int i = 1; i <= 3; i++) {
            controls.add(new Kit.Proc("core-" + i, "control", Kit.net + i, "z" + i, seeds).start(true));
        }
        if (!Kit.put(controls, 0, Kit.configuration(3, "shop", 2, "safe"), 20_000)) {
            Kit.end(2, "the first configuration was not accepted");
        }
        Kit.sleep(2_000);
        String sound = new String(Kit.configuration(7, "shop", 2, "safe", "unsafe"), StandardCharsets.UTF_8);
        Map<String, String> bodies = new LinkedHashMap<>();
        if (Kit.TROUBLE) {
            bodies.put("two configurations in one body", sound + new String(Kit.configuration(9, "shop", 3, "safe"), StandardCharsets.UTF_8));
            bodies.put("more bytes behind the configuration", sound + ",\"routes\":{\"columns\":[\"na");
        } else {
            bodies.put("a sound configuration", sound);
        }
        int acknowledged = 0;
        long base = 3;
        for (Map.Entry<String, String> entry : bodies.entrySet()) {
            String body = entry.getValue().replace("\"r7\"", "\"r" + (base + 4) + "\"").replace("\"r9\"", "\"r" + (base + 6) + "\"");
            Kit.Answer answer = new Kit.Answer(0, Map.of(), new byte[0], "");
            for (int i = 0; i < 8 && (answer.status() == 0 || answer.status() >= 500); i++) {
                answer = Kit.call(controls.get(i % 3).control(), "POST", "/Config.Put", Map.of("Cuminreach-Base-Version",
                        "r" + base, "Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1000);
                Kit.sleep(200);
            }
            Kit.log(entry.getKey() + ", on r" + base + ": " + answer.status() + " " + answer.text().strip());
            Kit.log("  body: " + body);
            Kit.Answer current = new Kit.Answer(0, Map.of(), new byte[0], "");
            for (int i = 0; i < 8 && current.status() != 200; i++) {
                current = Kit.get(controls.get(i % 3));
            }
            Kit.log("  then in force: " + current.text());
            if (answer.status() == 200) {
                acknowledged++;
            }
            base = Math.max(base, Kit.version(current));
        }
        if (!Kit.TROUBLE) {
            Kit.end(acknowledged == 1 ? 0 : 2, "the sound configuration was " + (acknowledged == 1 ? "" : "not ") + "acknowledged");
        }
        Kit.end(acknowledged > 0 ? 1 : 0, acknowledged + " of " + bodies.size() + " invalid configurations were acknowledged");
    }
}
