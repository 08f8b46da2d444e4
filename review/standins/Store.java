import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's store: keyed topics with one partition, kept in memory. */
final class Store {
    private static final class Entry {
        final String key;
        final byte[] value;

        Entry(String key, byte[] value) {
            this.key = key;
            this.value = value;
        }
    }

    /** Default of `maxKb`. */
    private static final int MAX_READ_BYTES = 1_024 * 1_024;

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final ServerSocket server;

    Store(String ip) throws IOException {
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Threads.start("store", this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    synchronized long put(String topic, String key, String value) {
        return append(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized long append(String topic, String key, byte[] value) {
        List<Entry> log = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        log.add(new Entry(key, value));
        notifyAll();
        return log.size() - 1;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("store-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                byte[] body = Http.readBody(in, head);
                String target = head.first.split(" ")[1];
                Map<String, String> query = query(target);
                String topic = query.getOrDefault("topic", "");
                byte[] answer;
                if (target.startsWith("/log-newest")) {
                    answer = newest(topic);
                } else if (target.startsWith("/log-read")) {
                    long from = Long.parseLong(query.get("from"));
                    answer = read(topic, from, Long.parseLong(query.getOrDefault("waitMs", "0")));
                } else if (target.startsWith("/log-append")) {
                    answer = appendAll(topic, body);
                } else {
                    out.write(Http.bytes("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length + "\r\n\r\n"));
                out.write(answer);
                out.flush();
            }
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return query;
        for (String pair : target.substring(mark + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
        }
        return query;
    }

    private synchronized byte[] newest(String topic) {
        List<Entry> log = topics.getOrDefault(topic, List.of());
        Map<String, String> items = new LinkedHashMap<>();
        for (int offset = 0; offset < log.size(); offset++) {
            Entry entry = log.get(offset);
            items.remove(entry.key);
            if (entry.value.length == 0) continue;
            String value = Base64.getEncoder().encodeToString(entry.value);
            items.put(entry.key, "{\"key\":\"" + entry.key + "\",\"value\":\"" + value + "\",\"offset\":" + offset + "}");
        }
        return Http.bytes("{\"items\":[" + String.join(",", items.values()) + "],\"hasMore\":false,\"endOffset\":" + log.size() + "}");
    }

    private synchronized byte[] read(String topic, long from, long waitMs) throws IOException, InterruptedException {
        long endNs = System.nanoTime() + waitMs * 1_000_000;
        while (topics.getOrDefault(topic, List.of()).size() <= from) {
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) break;
            wait(leftMs);
        }
        List<Entry> log = topics.getOrDefault(topic, List.of());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(log.size());
        out.writeLong(0);
        for (long offset = from; offset < log.size(); offset++) {
            Entry entry = log.get((int) offset);
            byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
            if (offset > from && bytes.size() + entry.value.length > MAX_READ_BYTES) break;
            out.writeInt(1 + key.length + entry.value.length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value);
        }
        return bytes.toByteArray();
    }

    private synchronized byte[] appendAll(String topic, byte[] body) {
        long first = -1;
        int at = 0;
        while (at + 4 <= body.length) {
            int length = ((body[at] & 255) << 24) | ((body[at + 1] & 255) << 16) | ((body[at + 2] & 255) << 8) | (body[at + 3] & 255);
            int keyLength = body[at + 4] & 255;
            String key = new String(body, at + 5, keyLength, StandardCharsets.UTF_8);
            long offset = append(topic, key, Arrays.copyOfRange(body, at + 5 + keyLength, at + 4 + length));
            if (first < 0) first = offset;
            at += 4 + length;
        }
        return Http.bytes("{\"offset\":" + first + ",\"endOffset\":" + topics.get(topic).size() + "}");
    }
}
