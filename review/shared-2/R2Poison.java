import java.io.IOException;

/**
 * A request that crashes each runner that begins to run it, which comes again at all gateways. Counts
 * its retries after it has crashed the third runner.
 */
abstract class R2Poison extends R2Case {
    static final int CONTACT_MS = 3_000;
    static final int MOST_RETRIES = 3;
    private static final int DOWN_MS = 2_500;
    private static final String BODY = "issue certificate 4711";

    private long thirdCrashMs;
    private int crashes;
    private int lateRetries;

    /** Requests of others that ran at a runner when a late retry crashed it. */
    private int cutByLateRetries;
    private volatile boolean isOver;

    /** The caller of the request waits before it sends it again. */
    volatile boolean isPaused;

    private final class CrashingRunner extends R2Runner {
        CrashingRunner(int number) throws IOException {
            super(store, record, "i-records-" + number, "inspect-app",
                number % 2 == 0 ? "fj-west-a" : "fj-west-b", 6, "127.0.0.1");
            // Below the longest work of a sign-off in the site file.
            workMs = 100;
        }

        @Override
        void onRun(R2Http call, String attempt) throws IOException {
            super.onRun(call, attempt);
            if (!call.text().equals(BODY)) {
                return;
            }
            if (hasTrouble) {
                onCrash(this, attempt);
                crash(DOWN_MS);
                throw new IOException("crashed");
            }
        }
    }

    private synchronized void onCrash(R2Runner runner, String attempt) {
        crashes++;
        long nowMs = record.nowMs();
        if (crashes == 3) {
            thirdCrashMs = nowMs;
        }
        boolean isLate = crashes > 3 && nowMs > thirdCrashMs + CONTACT_MS;
        if (isLate) {
            lateRetries++;
            cutByLateRetries += runner.running().size() - 1;
        }
        record.line("crash %d, by %s at %s%s", crashes, attempt, runner.id,
            isLate ? ": late retry " + lateRetries : "");
    }

    synchronized int crashes() {
        return crashes;
    }

    synchronized int lateRetries() {
        return lateRetries;
    }

    synchronized int cutByLateRetries() {
        return cutByLateRetries;
    }

    synchronized long sinceThirdCrashMs() {
        return crashes < 3 ? 0 : record.nowMs() - thirdCrashMs;
    }

    void startAll(int gatewayCount, int runnerCount) throws IOException {
        configure(7,
            route("r-1", "/sign-off/", "non_idempotent", "inspect-app", 600, 100, 2, 1),
            tenant("hule930", KEY, "requests", 0, 0));
        for (int i = 1; i <= runnerCount; i++) {
            new CrashingRunner(i);
        }
        startFirst(gatewayCount, gatewayCount);
    }

    /** Sends the request at one gateway after another, beside ordinary requests, until stopped. */
    Thread sendAll(long poisonPauseMs, long otherPauseMs) {
        R2Client client = new R2Client(record, HOST, KEY);
        R2Threads.start("others", () -> {
            for (int i = 0; !isOver; i++) {
                R2Gateway gateway = gateways.get(i % gateways.size());
                String number = "" + i;
                R2Threads.start("other", () -> client.send(gateway, "POST", "/sign-off/2f",
                    "issue certificate 1" + number, 600, R2Client.attemptId()));
                Thread.sleep(otherPauseMs);
            }
        });
        return R2Threads.start("poison", () -> {
            for (int i = 0; !isOver; i++) {
                R2Gateway gateway = gateways.get(i % gateways.size());
                if (!isPaused) {
                    client.send(gateway, "POST", "/sign-off/2f", BODY, 600, R2Client.attemptId());
                }
                Thread.sleep(poisonPauseMs);
            }
        });
    }

    void stopSending() {
        isOver = true;
    }
}
