package org.cuminreach.trial.soak;

/**
 * Body of a target's answer in a soak.
 *
 * @param callId call that it answers
 * @param target name of the target
 * @param limited whether the answer names a limit
 * @param leaving whether the answer says that the target leaves
 */
record SoakAnswer(String callId, String target, boolean limited, boolean leaving) {
    String text() {
        return "%s %s %b %b".formatted(callId, target, limited, leaving);
    }

    static SoakAnswer parse(String text) {
        String[] parts = text.split(" ");
        return new SoakAnswer(
                parts[0], parts[1], Boolean.parseBoolean(parts[2]), Boolean.parseBoolean(parts[3]));
    }
}
