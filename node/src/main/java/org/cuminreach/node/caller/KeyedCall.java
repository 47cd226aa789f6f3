package org.cuminreach.node.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.cuminreach.decisions.configuration.Sha256;
import org.cuminreach.decisions.idempotency.IdempotencyKey;
import org.cuminreach.runtime.http.HttpCall;

/**
 * A call that carries an idempotency key.
 *
 * @param call the call
 * @param service name of the service it is for
 * @param key its key, within its method, host and path
 * @param headers headers to send it on with
 * @param remainingMillis time left until its deadline, in milliseconds
 */
record KeyedCall(
        HttpCall call,
        String service,
        IdempotencyKey key,
        HttpHeaders headers,
        long remainingMillis) {
    /** Narrows a key to the method, host and path of its call. */
    static IdempotencyKey scoped(IdempotencyKey key, HttpCall call) {
        String scope = call.method() + ' ' + call.header("Host", "") + call.uri();
        return new IdempotencyKey(key.text() + ' ' + scope, key.createdMillis());
    }

    /** Hashes what a repetition has in common with the first, besides its key. */
    long fingerprint() {
        MessageDigest digest = Sha256.begin();
        String credentials = call.header("Authorization", "") + '\n';
        digest.update(credentials.getBytes(StandardCharsets.UTF_8));
        return ByteBuffer.wrap(digest.digest(call.body())).getLong();
    }
}
