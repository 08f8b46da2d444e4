import java.io.IOException;

/** All gateways are stopped and started in turn while the request is quarantined. */
public final class R2PoisonAfterRoll extends R2Poison {
    private static final int AFTER_MS = 40_000;

    public static void main(String[] arguments) {
        main(new R2PoisonAfterRoll(), arguments[0]);
    }

    @Override
    boolean play() throws IOException {
        startAll(Integer.getInteger("hosts", 4), 3);
        sendAll(250, 40);
        long endMs = record.nowMs() + 20_000;
        while (crashes() < 3 && record.nowMs() < endMs) {
            R2Threads.pause(50);
        }
        R2Threads.pause(1_500);
        if (hasTrouble) {
            // While machines are out of touch, the request doesn't come.
            isPaused = true;
            for (R2Gateway gateway : gateways) {
                gateway.terminate();
                gateway.start();
                awaitReady(gateway);
            }
            R2Threads.pause(CONTACT_MS);
            isPaused = false;
            record.line("all gateways are in touch again");
        }
        endMs = record.nowMs() + AFTER_MS;
        while (record.nowMs() < endMs && lateRetries() <= MOST_RETRIES) {
            R2Threads.pause(100);
        }
        stopSending();
        record.say("BUDGET: %d retries reached runners, from machines in touch, later than %d ms "
            + "after the third crash, %d s after it", lateRetries(), CONTACT_MS,
            sinceThirdCrashMs() / 1_000);
        record.say("They cut %d sign-offs of other callers that runners had begun",
            cutByLateRetries());
        return lateRetries() <= MOST_RETRIES;
    }
}
