package org.cuminreach.node.poison;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.cuminreach.decisions.configuration.Sha256;
import org.cuminreach.runtime.http.HttpCall;

/**
 * Identifies a request by method, host, path and body, so that the same request of another caller
 * has the same fingerprint. The digest is computed when it is first asked for.
 */
public final class RequestFingerprint {
    private final HttpCall call;
    private String text = "";

    private RequestFingerprint(HttpCall call) {
        this.call = call;
    }

    /**
     * Returns the fingerprint of a call.
     *
     * @param call the call
     * @return its fingerprint
     */
    public static RequestFingerprint of(HttpCall call) {
        return new RequestFingerprint(call);
    }

    synchronized String text() {
        if (text.isEmpty()) {
            MessageDigest digest = Sha256.newDigest();
            String line = call.method() + " " + call.header("Host", "") + " " + call.uri() + "\n";
            digest.update(line.getBytes(StandardCharsets.UTF_8));
            text = HexFormat.of().formatHex(digest.digest(call.body()));
        }
        return text;
    }
}
