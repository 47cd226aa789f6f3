package org.cuminreach.node.poison;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.cuminreach.decisions.configuration.Sha256;
import org.cuminreach.runtime.http.HttpCall;

/** Identifies a request by its method, host, path and body, regardless of the caller. */
final class RequestFingerprint {
    private RequestFingerprint() {}

    static String of(HttpCall call) {
        MessageDigest digest = Sha256.newDigest();
        String line = call.method() + " " + call.header("Host", "") + " " + call.uri() + "\n";
        digest.update(line.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest.digest(call.body()));
    }
}
