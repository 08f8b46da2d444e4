import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** For four seconds the runners reset part of their connections. One tenant reads one record. */
final class Case5 {
    private static final int TIMEOUT_MS = 600;
    private static final int RESET_MS = 4_000;
    private static final int RECOVER_MS = 12_000;
    private static final int WATCH_MS = 15_000;
    private static final int GAP_MS = 100;
    private static final String OTHER_KEY = "key-of-soko112-06";
    private static final String OTHER_TENANT = ",{\"name\":\"soko112\",\"apiKeys\":[\"" + OTHER_KEY + "\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":0,\"burst\":0}";
    private static final String RECORD = "/record/17";

    private static volatile boolean isResetting;
    private static final AtomicInteger runCount = new AtomicInteger();
    private static final AtomicInteger resetCount = new AtomicInteger();

    public static void main(String[] arguments) {
        Case.main(arguments, Case5::run);
    }

    /** What one tenant asked for and got. */
    private static final class Tenant {
        final String name;
        final String key;
        final AtomicInteger asked = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        Tenant(String name, String key) {
            this.name = name;
            this.key = key;
        }

        double share() {
            return (double) served.get() / asked.get();
        }
    }

    private static boolean run(Record record, boolean hasTrouble) throws Exception {
        Fleet fleet = new Fleet(2);
        for (int number = 1; number <= 3; number++) {
            String id = "i-app-" + number;
            new Runner(id, "app", "a", 6, fleet.prefix + ".3", fleet.store, run -> {
                Thread.sleep(20);
                if (isResetting) runCount.incrementAndGet();
                if (isResetting && run.head.first.contains(RECORD + " ")) {
                    resetCount.incrementAndGet();
                    record.line(id + " ran " + run.id() + " and resets its connection");
                    run.reset();
                    return false;
                }
                run.answer(200, Http.bytes("record of " + run.id()));
                return true;
            });
        }
        fleet.store.put("keyed.op", "config", Config.versionWith(OTHER_TENANT, 1, Config.route("record", "idempotent", "app", TIMEOUT_MS, 2, false)));
        fleet.startAll();
        Thread.sleep(3_000);

        Tenant one = new Tenant("soko112", OTHER_KEY);
        Tenant many = new Tenant("hule930", Config.KEY);
        watch(record, fleet, one, many, 3_000, "before");
        if (one.share() < 0.25 || many.share() < 0.25) throw new IOException("not served before");
        if (hasTrouble) {
            record.line("the runners begin to reset connections");
            isResetting = true;
        }
        watch(record, fleet, one, many, RESET_MS, "during");
        isResetting = false;
        record.line("all runners are sound again; they reset " + resetCount + " of " + runCount + " requests");
        watch(record, fleet, one, many, RECOVER_MS, "recovery");
        watch(record, fleet, one, many, WATCH_MS, "judged");
        double all = (double) (one.served.get() + many.served.get()) / (one.asked.get() + many.asked.get());
        record.line(String.format("served of %s: %.3f, of all: %.3f", one.name, one.share(), all));
        return one.share() < all / 4;
    }

    /** Sends two requests of [one] for one record beside each three of [many] for others. */
    private static void watch(Record record, Fleet fleet, Tenant one, Tenant many, int durationMs, String phase) throws Exception {
        for (Tenant tenant : List.of(one, many)) {
            tenant.asked.set(0);
            tenant.served.set(0);
        }
        List<Thread> asking = new ArrayList<>();
        long endMs = record.nowMs() + durationMs;
        for (int number = 0; record.nowMs() < endMs; number++) {
            boolean isOne = number % 5 < 2;
            Tenant tenant = isOne ? one : many;
            String path = isOne ? RECORD : "/record/other-" + number;
            Fleet.Gateway gateway = fleet.gateways.get(number % fleet.gateways.size());
            String id = phase + "-" + tenant.name + "-" + number;
            asking.add(Threads.start(id, () -> ask(record, gateway, tenant, path, id)));
            Thread.sleep(GAP_MS);
        }
        for (Thread thread : asking) thread.join();
        record.line(phase + ": " + one.name + " was served " + one.served + " of " + one.asked + ", " + many.name + " " + many.served + " of " + many.asked);
    }

    private static void ask(Record record, Fleet.Gateway gateway, Tenant tenant, String path, String id) throws IOException {
        tenant.asked.incrementAndGet();
        String result;
        try (Socket socket = new Socket(gateway.ip, gateway.front)) {
            socket.setSoTimeout(TIMEOUT_MS + 500);
            socket.getOutputStream().write(Http.bytes(Config.request(tenant.key, "GET", path, id, TIMEOUT_MS, "Connection: close\r\n", 0)));
            Http.Head head = Http.readHead(Http.buffered(socket.getInputStream()));
            if (head != null && head.status() == 200) tenant.served.incrementAndGet();
            result = head == null ? "closed" : head.first;
        } catch (IOException e) {
            result = "" + e;
        }
        record.line(id + " to " + gateway.name + ": " + result);
    }
}
