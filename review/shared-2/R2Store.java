import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for the platform's store: keyed topics with one partition, with log-append (also with
 * the query `at`), log-read (also with a wait) and log-newest (pages of 500).
 */
final class R2Store implements AutoCloseable {
    private static final int PAGE = 500;

    private static final class Rec {
        final byte[] key;
        final byte[] value;

        Rec(byte[] key, byte[] value) {
            this.key = key;
            this.value = value;
        }
    }

    private final Map<String, List<Rec>> topics = new HashMap<>();
    private final ServerSocket server;
    final String address;

    R2Store(String ip) throws IOException {
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        address = ip + ":" + server.getLocalPort();
        R2Threads.start("store", this::accept);
    }

    /** Appends a record; an empty value drops the key. Returns its offset. */
    synchronized long put(String topic, String key, String value) {
        List<Rec> log = log(topic);
        log.add(new Rec(key.getBytes(StandardCharsets.UTF_8),
            value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
        return log.size() - 1;
    }

    /** Keys of the records that exist in a topic. */
    synchronized List<String> keys(String topic) {
        List<String> keys = new ArrayList<>();
        for (Map.Entry<String, Integer> entry : newest(topic).entrySet()) {
            keys.add(entry.getKey());
        }
        return keys;
    }

    private List<Rec> log(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    private Map<String, Integer> newest(String topic) {
        Map<String, Integer> newest = new LinkedHashMap<>();
        List<Rec> log = log(topic);
        for (int i = 0; i < log.size(); i++) {
            String key = new String(log.get(i).key, StandardCharsets.UTF_8);
            newest.remove(key);
            if (log.get(i).value.length > 0) {
                newest.put(key, i);
            }
        }
        return newest;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            R2Threads.start("store-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (R2Http call = R2Http.read(in); call != null; call = R2Http.read(in)) {
                answer(call, out);
            }
        }
    }

    private void answer(R2Http call, OutputStream out) throws IOException {
        String[] target = call.target().split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        switch (target[0]) {
            case "/log-append" -> append(query, call.body, out);
            case "/log-read" -> read(query, out);
            case "/log-newest" -> newestPage(query, out);
            default -> send(out, 404, new byte[0]);
        }
    }

    private synchronized void append(Map<String, String> query, byte[] body, OutputStream out)
            throws IOException {
        List<Rec> log = log(query.get("topic"));
        String at = query.get("at");
        if (at != null && Long.parseLong(at) != log.size()) {
            json(out, 412, "{\"endOffset\":" + log.size() + "}");
            return;
        }
        int first = log.size();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            int keyLength = record[0] & 0xff;
            byte[] key = java.util.Arrays.copyOfRange(record, 1, 1 + keyLength);
            log.add(new Rec(key,
                java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length)));
        }
        notifyAll();
        json(out, 200, "{\"offset\":" + first + ",\"endOffset\":" + log.size() + "}");
    }

    private void read(Map<String, String> query, OutputStream out) throws IOException {
        int from = Integer.parseInt(query.get("from"));
        long endNs = System.nanoTime()
            + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            List<Rec> log = log(query.get("topic"));
            try {
                while (log.size() <= from && System.nanoTime() < endNs) {
                    wait(Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            DataOutputStream data = new DataOutputStream(bytes);
            data.writeLong(log.size());
            data.writeLong(0);
            for (int i = from; i < log.size() && bytes.size() < 1_000_000; i++) {
                Rec rec = log.get(i);
                data.writeInt(1 + rec.key.length + rec.value.length);
                data.writeByte(rec.key.length);
                data.write(rec.key);
                data.write(rec.value);
            }
        }
        send(out, 200, bytes.toByteArray());
    }

    private void newestPage(Map<String, String> query, OutputStream out) throws IOException {
        StringBuilder items = new StringBuilder();
        boolean hasMore = false;
        int end;
        synchronized (this) {
            String topic = query.get("topic");
            String after = query.get("afterRev");
            boolean isBehind = after == null;
            int count = 0;
            List<Rec> log = log(topic);
            end = log.size();
            for (Map.Entry<String, Integer> entry : newest(topic).entrySet()) {
                if (!isBehind) {
                    isBehind = entry.getKey().equals(after);
                    continue;
                }
                if (count == PAGE) {
                    hasMore = true;
                    break;
                }
                String value =
                    Base64.getEncoder().encodeToString(log.get(entry.getValue()).value);
                items.append(count++ == 0 ? "" : ",").append("{\"key\":\"")
                    .append(entry.getKey()).append("\",\"value\":\"").append(value)
                    .append("\",\"offset\":").append(entry.getValue()).append('}');
            }
        }
        json(out, 200,
            "{\"items\":[" + items + "],\"hasMore\":" + hasMore + ",\"endOffset\":" + end + "}");
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text.split("&")) {
            String[] pair = part.split("=", 2);
            if (pair.length == 2) {
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static void json(OutputStream out, int status, String text) throws IOException {
        send(out, status, text.getBytes(StandardCharsets.UTF_8));
    }

    private static void send(OutputStream out, int status, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
