import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message as read from a connection. Names of headers are in lower case. */
final class R2Http {
    final String firstLine;
    final Map<String, String> headers;
    final byte[] body;

    private R2Http(String firstLine, Map<String, String> headers, byte[] body) {
        this.firstLine = firstLine;
        this.headers = headers;
        this.body = body;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String target() {
        return firstLine.split(" ")[1];
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads a message; returns null if the connection ends before its first byte. */
    static R2Http read(InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            headers.put(
                line.substring(0, colon).toLowerCase(Locale.ROOT),
                line.substring(colon + 1).trim());
        }
        return new R2Http(first, headers, body(in, first, headers));
    }

    private static byte[] body(InputStream in, String first, Map<String, String> headers)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
                bytes.write(exactly(in, size));
                line(in, false);
                if (size == 0) {
                    return bytes.toByteArray();
                }
            }
        }
        String length = headers.get("content-length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        // A request without a length has no body; all answers here have one.
        return new byte[0];
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            if (next == '\n') {
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            bytes.write(next);
        }
    }
}
