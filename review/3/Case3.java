import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/**
 * A stream pauses for less time than callers wait, and the other runner is full at that moment. The
 * gateway that serves it is being stopped, as in a rolling restart.
 */
final class Case3 {
    private static final int EVENTS = 30;
    private static final int EVENT_GAP_MS = 50;

    /** Callers abandon a stream after max(2 s, 4 x 600 ms, 8 x 250 ms) = 2.4 s without an event. */
    private static final int PAUSE_MS = 1_900;
    private static final int PAUSE_AFTER_EVENT = 10;
    private static final int DEADLINE_MS = 12_000;

    public static void main(String[] arguments) {
        Case.main(arguments, Case3::run);
    }

    private static boolean run(Record record, boolean hasTrouble) throws Exception {
        Fleet fleet = new Fleet(2);
        new Runner("i-sound", "pool", "a", 13, fleet.prefix + ".3", fleet.store, run -> {
            record.line("runner i-sound runs " + run.id());
            return stream(record, run, hasTrouble ? PAUSE_MS : 0);
        });
        Runner full = new Runner("i-full", "pool", "b", 13, fleet.prefix + ".4", fleet.store, run -> {
            record.line("runner i-full is full and rejects " + run.id() + " as not executed");
            run.out.write(Http.bytes("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + run.id() + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
            run.out.flush();
            return true;
        });
        fleet.store.put("keyed.op", "config", Config.version(1, Config.route("draft", "streaming", "pool", 12_000, 2, true)));
        fleet.startAll();
        Thread.sleep(3_500);
        Fleet.Gateway gateway = fleet.gateways.get(0);
        try (Socket socket = new Socket(gateway.ip, gateway.front)) {
            socket.setSoTimeout(DEADLINE_MS + 1_000);
            record.line("send draft-1 to " + gateway.name);
            socket.getOutputStream().write(Http.bytes(Config.request("POST", "/draft/1", "draft-1", DEADLINE_MS, "Model: m\r\nToken-Count: 6610,180\r\nPrompt-Prefix: 5c1e07a2:60,91bd3f06:6550\r\n", 0)));
            InputStream in = Http.buffered(socket.getInputStream());
            Thread.sleep(100);
            record.line("SIGTERM to " + gateway.name);
            gateway.signal("TERM");
            Http.Head head = Http.readHead(in);
            if (head == null) throw new IOException("closed before the answer began");
            record.line("draft-1: " + head.first);
            if (head.status() != 200) throw new IOException("the stream didn't begin");
            try {
                String text = new String(Http.readBody(in, head));
                long events = text.lines().filter(line -> line.startsWith("id:")).count();
                record.line("draft-1: complete, " + events + " events of " + EVENTS);
                return events != EVENTS;
            } catch (IOException e) {
                record.line("draft-1: connection ended within the stream: " + e.getMessage());
                return true;
            }
        }
    }

    private static boolean stream(Record record, Runner.Run run, int pauseMs) throws Exception {
        run.out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + run.sealed() + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        String last = run.head.get("last-event-id");
        try {
            for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
                String text = "id: " + event + "\ndata: token " + event + "\n\n";
                run.out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                run.out.flush();
                Thread.sleep(EVENT_GAP_MS);
                if (event == PAUSE_AFTER_EVENT && pauseMs > 0) {
                    record.line("runner i-sound pauses " + run.id() + " for " + pauseMs + " ms after event " + event);
                    Thread.sleep(pauseMs);
                }
            }
            run.out.write(Http.bytes("0\r\n\r\n"));
            run.out.flush();
            record.line("runner i-sound has made all events of " + run.id());
            return true;
        } catch (IOException e) {
            record.line("runner i-sound: the gateway closed the connection of " + run.id());
            throw e;
        }
    }
}
