package org.cuminreach.trial.once;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.node.target.ExpectedAnswer;
import org.cuminreach.node.target.TargetClient;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.settings.Address;

/**
 * Sends calls to a faulty target, many at once, beside calls to a sound one, and prints how many of
 * the latter were completed, how many were not, and how many connections were lost. Arguments:
 * ports of the faulty and of the sound target, calls to the faulty target, duration in
 * milliseconds.
 */
final class EndlessAnswersProcess {
    private static final long FAULTY_TIMEOUT_MILLIS = 30_000;
    private static final long SOUND_TIMEOUT_MILLIS = 3_000;
    private static final long PAUSE_MILLIS = 20;

    /** Calls to the faulty target whose connection was lost, though the target closes none. */
    private static final AtomicInteger LOST_CONNECTIONS = new AtomicInteger();

    private EndlessAnswersProcess() {}

    public static void main(String[] arguments) throws Exception {
        Address faulty = new Address("127.0.0.1", Integer.parseInt(arguments[0]));
        Address sound = new Address("127.0.0.1", Integer.parseInt(arguments[1]));
        int faultyCalls = Integer.parseInt(arguments[2]);
        long endNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(arguments[3]));
        EventLoopGroup loops = EventLoops.start(1);
        TargetClient client = TargetClient.create(loops);
        send(client, sound, "first", SOUND_TIMEOUT_MILLIS).get();
        for (int number = 0; number < faultyCalls; number++) {
            sendRepeatedly(client, faulty, loops);
        }
        int completed = 0;
        int failed = 0;
        while (System.nanoTime() < endNanos) {
            SendOutcome outcome = send(client, sound, "sound", SOUND_TIMEOUT_MILLIS).get();
            if (outcome instanceof SendOutcome.Completed) {
                completed++;
            } else {
                failed++;
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        System.out.println(completed + " " + failed + " " + LOST_CONNECTIONS.get());
        System.exit(0);
    }

    private static void sendRepeatedly(TargetClient client, Address faulty, EventLoopGroup loops) {
        send(client, faulty, "faulty", FAULTY_TIMEOUT_MILLIS)
                .whenComplete(
                        (outcome, failure) -> {
                            if (outcome.equals(new SendOutcome.Lost("connection_lost"))) {
                                LOST_CONNECTIONS.incrementAndGet();
                            }
                            loops.schedule(
                                    () -> sendRepeatedly(client, faulty, loops),
                                    PAUSE_MILLIS,
                                    TimeUnit.MILLISECONDS);
                        });
    }

    private static CompletableFuture<SendOutcome> send(
            TargetClient client, Address address, String id, long timeoutMillis) {
        return client.send(
                address,
                new HttpCall("GET", "/", new DefaultHttpHeaders(), new byte[0], "127.0.0.1"),
                new DefaultHttpHeaders().set("Host", "a"),
                new ExpectedAnswer(id, headers -> true, headers -> true),
                timeoutMillis);
    }
}
