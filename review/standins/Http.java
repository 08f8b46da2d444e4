import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages for the stand-ins. */
final class Http {
    private Http() {}

    /** Start line and headers; names of headers are lower case. */
    static final class Head {
        final String first;
        final Map<String, String> headers = new LinkedHashMap<>();

        Head(String first) {
            this.first = first;
        }

        String get(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Returns the next head, or null if the connection ended before it. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        while (first != null && first.isEmpty()) first = readLine(in);
        if (first == null) return null;
        Head head = new Head(first);
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("end within a head");
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("no header line: " + line);
            head.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    /** Reads a body with a length or in chunks; throws an EOFException if it is cut off. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        String encoding = head.get("transfer-encoding");
        if (encoding == null) {
            String length = head.get("content-length");
            return readFully(in, length == null ? 0 : Integer.parseInt(length));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("end before a chunk");
            int size = Integer.parseInt(line.trim(), 16);
            if (size > 0) body.write(readFully(in, size));
            String end = readLine(in);
            if (end == null) throw new EOFException("end after a chunk");
            if (size == 0) return body.toByteArray();
        }
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("end after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16_384);
    }
}
