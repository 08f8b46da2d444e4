import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A model runner goes dark while two long drafts are sent to it. Other callers read records. */
final class Case1 {
    /** The largest body of a draft on the sheet of playsafe-fiji. */
    private static final int DRAFT_BYTES = 72_000;
    /** For kernels that take all of a draft at once; below maxBodyBytes. */
    private static final int LONGER_DRAFT_BYTES = 400_000;
    private static final int USUAL_DRAFT_BYTES = 12_000;
    private static final int DRAFTS = 2;
    private static final int DRAFT_TIMEOUT_MS = 12_000;
    private static final int DARK_MS = 4_500;
    private static final int READ_TIMEOUT_MS = 600;
    private static final int SLACK_MS = 500;
    private static final int READ_GAP_MS = 150;

    public static void main(String[] arguments) {
        Case.main(arguments, Case1::run);
    }

    private static boolean run(Record record, boolean hasTrouble) throws Exception {
        Fleet fleet = new Fleet(2);
        Runner model = new Runner("i-model-1", "pool", "a", 13, fleet.prefix + ".3", fleet.store, true, run -> {
            record.line("i-model-1 runs " + run.id() + ", body of " + run.body.length + " bytes");
            String event = "id: 1\ndata: draft of " + run.id() + "\n\n";
            run.out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + run.sealed() + "Content-Type: text/event-stream\r\nKeep-Alive: timeout=30\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            run.out.flush();
            Thread.sleep(300);
            run.out.write(Http.bytes("0\r\n\r\n"));
            run.out.flush();
            return true;
        });
        new Runner("i-app-1", "app", "a", 6, fleet.prefix + ".4", fleet.store, run -> {
            Thread.sleep(20);
            run.answer(200, Http.bytes("record of " + run.id()));
            return true;
        });
        fleet.store.put("keyed.op", "config", Config.version(1,
            Config.route("draft", "streaming", "pool", DRAFT_TIMEOUT_MS, 2, true),
            Config.route("record", "idempotent", "app", READ_TIMEOUT_MS, 2, false)));
        fleet.startAll();
        Thread.sleep(3_000);
        Fleet.Gateway gateway = fleet.gateways.get(0);
        CountDownLatch first = new CountDownLatch(DRAFTS);
        for (int number = 1; number <= DRAFTS; number++) draft(record, gateway, "usual-" + number, USUAL_DRAFT_BYTES, first);
        first.await();
        Thread.sleep(500);

        if (hasTrouble) {
            record.line("i-model-1 goes dark");
            model.setDark(true);
        }
        for (int number = 1; number <= DRAFTS; number++) draft(record, gateway, "long-" + number, DRAFT_BYTES, new CountDownLatch(1));
        long darkEndMs = record.nowMs() + DARK_MS;
        Thread.sleep(300);
        AtomicInteger probe = new AtomicInteger();
        read(record, gateway, "probe", probe, new AtomicInteger(), new AtomicInteger()).join();
        if (probe.get() > 0) {
            for (int number = 1; number <= DRAFTS; number++) draft(record, gateway, "longer-" + number, LONGER_DRAFT_BYTES, new CountDownLatch(1));
            Thread.sleep(300);
        }
        long endMs = darkEndMs - READ_TIMEOUT_MS - 2 * SLACK_MS;
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger never = new AtomicInteger();
        List<Thread> reads = new ArrayList<>();
        for (int number = 1; record.nowMs() < endMs; number++) {
            reads.add(read(record, gateway, "read-" + number, answered, late, never));
            if (number % 7 == 0) reads.add(Threads.start("ready", () -> record.line("GET /readyz: " + (gateway.isReady() ? "200" : "no answer within 1 s"))));
            Thread.sleep(READ_GAP_MS);
        }
        for (Thread read : reads) read.join();
        record.line("reads: " + answered + " answered within the route's timeoutMs of " + READ_TIMEOUT_MS + " ms; of the others, " + late + " answered within " + SLACK_MS + " ms more, " + never + " not");
        boolean isBroken = never.get() > late.get();
        if (hasTrouble) {
            model.setDark(false);
            record.line("i-model-1 is back");
            Thread.sleep(1_500);
            AtomicInteger after = new AtomicInteger();
            for (int number = 1; number <= 3; number++) read(record, gateway, "after-" + number, after, new AtomicInteger(), new AtomicInteger()).join();
            record.line("reads answered after that: " + after + " of 3");
        }
        return isBroken;
    }

    private static void draft(Record record, Fleet.Gateway gateway, String id, int bytes, CountDownLatch done) {
        Threads.start(id, () -> {
            try (Socket socket = new Socket(gateway.ip, gateway.front)) {
                socket.setSoTimeout(DRAFT_TIMEOUT_MS + 1_000);
                record.line("send " + id + ", body of " + bytes + " bytes");
                socket.getOutputStream().write(Http.bytes(Config.request("POST", "/draft/" + id, id, DRAFT_TIMEOUT_MS, "Model: m\r\nToken-Count: " + bytes / 2 + ",80\r\nPrompt-Prefix: 5c1e07a2:60," + Integer.toHexString(id.hashCode()) + ":" + (bytes / 2 - 60) + "\r\n", bytes)));
                socket.getOutputStream().write(new byte[bytes]);
                Http.Head head = Http.readHead(Http.buffered(socket.getInputStream()));
                record.line(id + ": " + (head == null ? "closed" : head.first));
            } finally {
                done.countDown();
            }
        });
    }

    private static Thread read(Record record, Fleet.Gateway gateway, String id, AtomicInteger answered, AtomicInteger late, AtomicInteger never) {
        return Threads.start(id, () -> {
            long sentMs = record.nowMs();
            String result;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(gateway.ip, gateway.front), READ_TIMEOUT_MS + SLACK_MS);
                socket.getOutputStream().write(Http.bytes(Config.request("GET", "/record/" + id, id, READ_TIMEOUT_MS, "Connection: close\r\n", 0)));
                socket.setSoTimeout(READ_TIMEOUT_MS + SLACK_MS);
                Http.Head head = Http.readHead(Http.buffered(socket.getInputStream()));
                result = head == null ? "closed" : head.first;
                (record.nowMs() - sentMs <= READ_TIMEOUT_MS ? answered : late).incrementAndGet();
            } catch (SocketTimeoutException e) {
                result = "no answer";
                never.incrementAndGet();
            } catch (IOException e) {
                result = "" + e;
                never.incrementAndGet();
            }
            record.line(id + ": " + result + " after " + (record.nowMs() - sentMs) + " ms");
        });
    }
}
