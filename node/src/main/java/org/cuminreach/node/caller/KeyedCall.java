package org.cuminreach.node.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.cuminreach.decisions.configuration.Sha256;
import org.cuminreach.decisions.idempotency.IdempotencyKey;
import org.cuminreach.decisions.routing.TargetFilter;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpCall;

/**
 * A call that carries an idempotency key.
 *
 * @param call the call
 * @param service name of the called service
 * @param key its key, scoped to its method, host and path
 * @param headers headers to forward it with
 * @param filter decides which nodes may be the home of the key
 * @param filterSinceMillis wall-clock time since which the filter has not changed
 * @param remainingMillis time left until its deadline, in milliseconds
 */
record KeyedCall(
        HttpCall call,
        String service,
        IdempotencyKey key,
        HttpHeaders headers,
        TargetFilter filter,
        long filterSinceMillis,
        long remainingMillis) {
    /** Scopes a key to the method, host and path of its call. */
    static IdempotencyKey scoped(IdempotencyKey key, HttpCall call) {
        String scope = call.method() + ' ' + call.header("Host", "") + call.uri();
        return new IdempotencyKey(key.text() + ' ' + scope, key.createdMillis());
    }

    /** Hashes the credentials and body, which a repetition must share with the first call. */
    long fingerprint() {
        MessageDigest digest = Sha256.newDigest();
        String credentials =
                call.header("Authorization", "") + call.header(MeshHeaders.TENANT, "") + '\n';
        digest.update(credentials.getBytes(StandardCharsets.UTF_8));
        return ByteBuffer.wrap(digest.digest(call.body())).getLong();
    }
}
