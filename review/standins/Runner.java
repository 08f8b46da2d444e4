import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A runner. It registers itself in the store, repeats its record every heartbeat, rejects requests
 * for another instance with 421 and leaves all others to its work.
 */
final class Runner {
    /** A request that the runner runs. */
    static final class Run {
        final Http.Head head;
        final byte[] body;
        final OutputStream out;
        private final Socket socket;

        Run(Http.Head head, byte[] body, OutputStream out, Socket socket) {
            this.head = head;
            this.body = body;
            this.out = out;
            this.socket = socket;
        }

        String id() {
            return head.get("attempt-id");
        }

        /** Headers of an answer of this runner to this request. */
        String sealed() {
            return "Attempt-Id: " + id() + "\r\nResponse-Seal: seal-" + id() + "\r\n";
        }

        /** Resets the connection, so that the answer is lost. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        void answer(int status, byte[] body) throws IOException {
            out.write(Http.bytes("HTTP/1.1 " + status + " Status\r\n" + sealed() + "Content-Length: " + body.length + "\r\n\r\n"));
            out.write(body);
            out.flush();
        }
    }

    /** Runs one request and answers it; returns whether the connection stays open. */
    interface Work {
        boolean run(Run run) throws Exception;
    }

    static final int HEARTBEAT_MS = 1_200;
    private static final int SMALL_BUFFER_BYTES = 4_096;
    private static final int READ_BYTES = 2_048;

    final String id;
    final List<String> ran = new CopyOnWriteArrayList<>();
    private final String service;
    private final String zone;
    private final int slots;
    private final Store store;
    private final Work work;
    private final ServerSocketChannel server;
    private boolean isDark;
    private final long bornMs = System.currentTimeMillis();
    private long sequence;

    Runner(String id, String service, String zone, int slots, String ip, Store store, Work work) throws Exception {
        this(id, service, zone, slots, ip, store, false, work);
    }

    /**
     * @param hasSmallBuffers whether connections take little that isn't read, as those to a machine
     * that has lost its power take none
     */
    Runner(String id, String service, String zone, int slots, String ip, Store store, boolean hasSmallBuffers, Work work) throws Exception {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.store = store;
        this.work = work;
        server = ServerSocketChannel.open(StandardProtocolFamily.INET);
        if (hasSmallBuffers) {
            Segments.setBytes(server, Segments.ETHERNET_BYTES);
            server.setOption(StandardSocketOptions.SO_RCVBUF, SMALL_BUFFER_BYTES);
        }
        server.bind(new InetSocketAddress(ip, 0), 256);
        Threads.start("runner-" + id, this::accept);
        Threads.start("heartbeat-" + id, () -> {
            while (true) {
                awaitLight();
                register("ready");
                Thread.sleep(HEARTBEAT_MS);
            }
        });
    }

    private synchronized void register(String state) {
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + server.socket().getInetAddress().getHostAddress() + ":" + server.socket().getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldLeftMs\":0,\"sequence\":" + ++sequence + ",\"born\":" + bornMs + "}");
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept().socket();
            Threads.start("run-" + id, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        try (socket) {
            InputStream in = Http.buffered(new LitInput(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                byte[] body = Http.readBody(in, head);
                if (!id.equals(head.get("expect-instance"))) {
                    out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + head.get("attempt-id") + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                ran.add(head.get("attempt-id"));
                if (!work.run(new Run(head, body, out, socket))) return;
            }
        }
    }

    /** While a runner is dark, it reads nothing, accepts nothing and sends no heartbeat. */
    synchronized void setDark(boolean dark) {
        isDark = dark;
        notifyAll();
    }

    private synchronized void awaitLight() throws IOException {
        try {
            while (isDark) wait();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private final class LitInput extends FilterInputStream {
        LitInput(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] bytes, int start, int length) throws IOException {
            awaitLight();
            int count = super.read(bytes, start, Math.min(length, READ_BYTES));
            awaitLight();
            return count;
        }
    }
}
