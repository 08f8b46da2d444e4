import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For four seconds the runners reset part of their connections. A route that was added later serves a
 * single resource, which is read again and again.
 */
final class Case5 {
    private static final int TIMEOUT_MS = 600;
    private static final int RESET_MS = 4_000;
    private static final int RECOVER_MS = 12_000;
    private static final int WATCH_MS = 15_000;
    private static final int GAP_MS = 100;
    private static final String BOARD = "/board/today";

    /** Fewer requests on routes that were added later aren't judged. */
    private static final int JUDGED_REQUESTS = 20;

    private static volatile boolean isResetting;
    private static final AtomicInteger runCount = new AtomicInteger();
    private static final AtomicInteger resetCount = new AtomicInteger();

    public static void main(String[] arguments) {
        Case.main(arguments, Case5::run);
    }

    /** What was asked for on one route, and what of it was served. */
    private static final class Asked {
        final String route;
        final AtomicInteger asked = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        Asked(String route) {
            this.route = route;
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
                if (isResetting && run.head.first.contains(BOARD + " ")) {
                    resetCount.incrementAndGet();
                    record.line(id + " ran " + run.id() + " and resets its connection");
                    run.reset();
                    return false;
                }
                run.answer(200, Http.bytes("record of " + run.id()));
                return true;
            });
        }
        String first = Config.route("record", "idempotent", "app", TIMEOUT_MS, 2, false);
        fleet.store.put("keyed.op", "config", Config.version(1, first));
        fleet.startAll();
        Thread.sleep(2_000);
        fleet.store.put("keyed.op", "config", Config.version(2, first, Config.route("board", "idempotent", "app", TIMEOUT_MS, 2, false)));
        record.line("version 2 adds the route /board/");
        Thread.sleep(3_000);

        Asked added = new Asked("/board/");
        Asked old = new Asked("/record/");
        watch(record, fleet, added, old, 3_000, "before");
        if (added.share() < 0.25 || old.share() < 0.25) throw new IOException("not served before");
        if (hasTrouble) {
            record.line("the runners begin to reset connections");
            isResetting = true;
        }
        watch(record, fleet, added, old, RESET_MS, "during");
        isResetting = false;
        record.line("all runners are sound again; they reset " + resetCount + " of " + runCount + " requests");
        watch(record, fleet, added, old, RECOVER_MS, "recovery");
        watch(record, fleet, added, old, WATCH_MS, "judged");
        if (added.asked.get() < JUDGED_REQUESTS) throw new IOException("too few requests to judge");
        record.line(String.format("served on the route that was added later: %.3f, on the first: %.3f", added.share(), old.share()));
        return added.share() < old.share() / 4;
    }

    /** Sends two requests for the resource of [added] beside each three for records of [old]. */
    private static void watch(Record record, Fleet fleet, Asked added, Asked old, int durationMs, String phase) throws Exception {
        for (Asked route : List.of(added, old)) {
            route.asked.set(0);
            route.served.set(0);
        }
        List<Thread> asking = new ArrayList<>();
        long endMs = record.nowMs() + durationMs;
        for (int number = 0; record.nowMs() < endMs; number++) {
            boolean isAdded = number % 5 < 2;
            Asked route = isAdded ? added : old;
            String path = isAdded ? BOARD : "/record/" + number;
            Fleet.Gateway gateway = fleet.gateways.get(number % fleet.gateways.size());
            String id = phase + "-" + number;
            asking.add(Threads.start(id, () -> ask(record, gateway, route, path, id)));
            Thread.sleep(GAP_MS);
        }
        for (Thread thread : asking) thread.join();
        record.line(phase + ": served on " + added.route + " " + added.served + " of " + added.asked + ", on " + old.route + " " + old.served + " of " + old.asked);
    }

    private static void ask(Record record, Fleet.Gateway gateway, Asked route, String path, String id) throws IOException {
        route.asked.incrementAndGet();
        String result;
        try (Socket socket = new Socket(gateway.ip, gateway.front)) {
            socket.setSoTimeout(TIMEOUT_MS + 500);
            socket.getOutputStream().write(Http.bytes(Config.request("GET", path, id, TIMEOUT_MS, "Connection: close\r\n", 0)));
            Http.Head head = Http.readHead(Http.buffered(socket.getInputStream()));
            if (head != null && head.status() == 200) route.served.incrementAndGet();
            result = head == null ? "closed" : head.first;
        } catch (IOException e) {
            result = "" + e;
        }
        record.line(id + " " + path + " to " + gateway.name + ": " + result);
    }
}
