import java.io.IOException;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Another writer puts one entry whose version is of another type, a list of lists. Then comes the
 * final fault: all gateways are killed, and start again. The runners are sound all the while.
 */
public final class R2NestedEntry extends R2Case {
    private static final int GATEWAYS = 3;
    private static final int DEPTH = 1_000;
    private static final int DOWN_MS = 1_200;
    private static final int RECOVER_MS = 12_000;
    private static final int BEFORE = 0;
    private static final int WITH_ENTRY = 1;
    private static final int RECOVERING = 2;
    private static final int RECOVERED = 3;

    private final AtomicIntegerArray sent = new AtomicIntegerArray(4);
    private final AtomicIntegerArray served = new AtomicIntegerArray(4);
    private volatile int phase = BEFORE;
    private volatile boolean isOver;

    public static void main(String[] arguments) {
        main(new R2NestedEntry(), arguments[0]);
    }

    @Override
    boolean play() throws IOException {
        configure(7,
            route("r-1", "/sign-off/", "non_idempotent", "inspect-app", 600, 100, 2, 1),
            tenant("hule930", KEY, "requests", 0, 0));
        for (int i = 1; i <= 3; i++) {
            new R2Runner(store, record, "i-records-" + i, "inspect-app",
                i == 2 ? "fj-west-b" : "fj-west-a", 6, "127.0.0.1");
        }
        startFirst(GATEWAYS, GATEWAYS);
        R2Threads.start("clients", this::sendAll);

        R2Threads.pause(6_000);
        if (hasTrouble) {
            phase = WITH_ENTRY;
            putNested();
        }
        R2Threads.pause(4_000);

        for (R2Gateway gateway : gateways) {
            record.say("%s, before the final fault: ready check %s", gateway.node,
                gateway.isReady() ? "passes" : "fails");
        }
        phase = RECOVERING;
        record.line("final fault: all gateways are killed");
        for (R2Gateway gateway : gateways) {
            gateway.kill();
        }
        R2Threads.pause(DOWN_MS);
        for (R2Gateway gateway : gateways) {
            gateway.start();
        }
        R2Threads.pause(RECOVER_MS);
        phase = RECOVERED;
        R2Threads.pause(10_000);
        isOver = true;
        R2Threads.pause(1_000);

        for (R2Gateway gateway : gateways) {
            record.say("%s, at the end: process %s, ready check %s", gateway.node,
                gateway.isAlive() ? "lives" : "has ended", gateway.isReady() ? "passes" : "fails");
        }
        int sentBefore = sent.get(BEFORE) + sent.get(WITH_ENTRY);
        int servedBefore = served.get(BEFORE) + served.get(WITH_ENTRY);
        record.say("served with the entry, before the final fault: %d of %d",
            served.get(WITH_ENTRY), sent.get(WITH_ENTRY));
        record.say("RECOVER: served before the final fault: %d of %d; later than %d s after the "
            + "machines are back: %d of %d", servedBefore, sentBefore, RECOVER_MS / 1_000,
            served.get(RECOVERED), sent.get(RECOVERED));
        if (servedBefore * 4 < sentBefore) {
            throw new IOException("too little was served before the final fault");
        }
        return served.get(RECOVERED) * 4 >= sent.get(RECOVERED);
    }

    /** Twenty sign-offs a second, at one gateway after another. */
    private void sendAll() throws InterruptedException {
        R2Client client = new R2Client(record, HOST, KEY);
        for (int i = 0; !isOver; i++) {
            R2Gateway gateway = gateways.get(i % GATEWAYS);
            int sentIn = phase;
            R2Threads.start("client", () -> {
                sent.incrementAndGet(sentIn);
                int status = client.send(gateway, "POST", "/sign-off/2f", "certificate", 600,
                    R2Client.attemptId());
                if (status == 200) {
                    served.incrementAndGet(sentIn);
                }
            });
            Thread.sleep(50);
        }
    }

    private void putNested() {
        String version = "[".repeat(DEPTH) + "]".repeat(DEPTH);
        store.put("keyed.servers", "i-other", "{\"service\":\"inspect-app\",\"address\":"
            + "\"127.0.0.1:9\",\"zone\":\"fj-west-a\",\"version\":" + version + ",\"slots\":6,"
            + "\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,\"born\":1}");
        record.line("another writer puts servers/i-other, with a version of %d lists in each other",
            DEPTH);
    }
}
