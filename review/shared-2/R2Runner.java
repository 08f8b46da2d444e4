import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for a runner of a plain service: it writes its entry to the store at each heartbeat,
 * answers 421 where another instance is expected, and answers requests after their work. A subclass
 * may change what happens when it begins to run a request.
 */
class R2Runner implements AutoCloseable {
    static final long HEARTBEAT_MS = 1_200;

    final String id;
    final String service;
    final String address;
    private final R2Store store;
    private final R2Record record;
    private final String zone;
    private final int slots;
    private volatile long bornMs = System.currentTimeMillis();
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private long sequence;
    volatile String state = "ready";
    volatile boolean isDown;
    volatile long workMs = 15;

    R2Runner(R2Store store, R2Record record, String id, String service, String zone, int slots,
            String ip) throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        address = ip + ":" + server.getLocalPort();
        R2Threads.start(id, this::accept);
        R2Threads.start(id + "-beat", () -> {
            while (!server.isClosed()) {
                beat();
                Thread.sleep(HEARTBEAT_MS);
            }
        });
    }

    /** Writes the entry of this runner, as the platform's pages show it. */
    synchronized void beat() {
        if (isDown) {
            return;
        }
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address
            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"coldLeftMs\":0,\"sequence\":" + (++sequence)
            + ",\"born\":" + bornMs + "}");
    }

    synchronized long sequence() {
        return sequence;
    }

    long bornMs() {
        return bornMs;
    }

    int slots() {
        return slots;
    }

    /** Ends all connections at once, as a crash does. The port stays, closed to requests. */
    void dropConnections() {
        for (Socket socket : open) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It was closed by its caller.
            }
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            if (isDown) {
                socket.setSoLinger(true, 0);
                socket.close();
                continue;
            }
            open.add(socket);
            R2Threads.start(id + "-call", () -> {
                try (socket) {
                    serve(socket);
                } finally {
                    open.remove(socket);
                }
            });
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (R2Http call = R2Http.read(in); call != null; call = R2Http.read(in)) {
            String attempt = call.header("Attempt-Id");
            if (!id.equals(call.header("Expect-Instance"))) {
                record.line("%s declines %s (421)", id, attempt);
                out.write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
                    + "\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n").getBytes());
                continue;
            }
            if (isReset(call, attempt)) {
                socket.setSoLinger(true, 0);
                return;
            }
            running.add(attempt);
            try {
                onRun(call, attempt);
                if (call.header("Token-Count") != null) {
                    stream(out, attempt);
                } else {
                    answer(out, attempt);
                }
            } finally {
                running.remove(attempt);
            }
            record.line("%s has run %s", id, attempt);
        }
    }

    private void answer(OutputStream out, String attempt) throws IOException, InterruptedException {
        String body = "answer of " + id + " to " + attempt;
        Thread.sleep(workMs);
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: seal."
            + id + "." + attempt + "\r\nServer-Load: 1,0," + slots + "\r\nContent-Length: "
            + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Sends three events, as the model runners do. */
    private void stream(OutputStream out, String attempt)
            throws IOException, InterruptedException {
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: seal." + id
            + "." + attempt + "\r\nServer-Load: 1,0," + slots
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        for (int event = 1; event <= 3; event++) {
            Thread.sleep(workMs);
            String text = "id: " + event + "\ndata: " + attempt + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }

    /** Requests that this runner runs now. */
    Set<String> running() {
        return Set.copyOf(running);
    }

    /** The runner crashes, and starts again under its id after a while. */
    void crash(long downMs) {
        isDown = true;
        record.line("%s crashes while it runs %s", id, running);
        dropConnections();
        R2Threads.start(id + "-restart", () -> {
            Thread.sleep(downMs);
            synchronized (this) {
                bornMs = System.currentTimeMillis();
                sequence = 0;
                isDown = false;
            }
            record.line("%s is back", id);
            beat();
        });
    }

    /** Whether the runner resets the connection of a request that it has read. */
    boolean isReset(R2Http call, String attempt) {
        return false;
    }

    /** The runner begins to run a request. Throws an IOException to end its connection. */
    void onRun(R2Http call, String attempt) throws IOException {
        record.line("%s runs %s %s", id, attempt, call.target());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
