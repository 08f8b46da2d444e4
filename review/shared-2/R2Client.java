import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.ThreadLocalRandom;

/** Sends one request on a new connection and reads its answer. */
final class R2Client {
    private final R2Record record;
    private final String host;
    private final String key;

    R2Client(R2Record record, String host, String key) {
        this.record = record;
        this.host = host;
        this.key = key;
    }

    static String attemptId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Returns the status of the answer, or 0 if the connection ended or nothing came in time. */
    int send(R2Gateway gateway, String method, String path, String body, long deadlineMs,
            String attempt) {
        record.line("client sends %s %s %s to %s", attempt, method, path, gateway.node);
        try (Socket socket = new Socket()) {
            socket.connect(gateway.front(), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMs);
            String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
            socket.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: " + host
                + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " + deadlineMs + "\r\nApi-Key: "
                + key + "\r\n" + length + "\r\n" + body).getBytes());
            R2Http answer = R2Http.read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                record.line("client gets no answer to %s: connection closed", attempt);
                return 0;
            }
            boolean isSealed = answer.header("Response-Seal") != null;
            record.line("client gets %d%s for %s", answer.status(), isSealed ? " sealed" : "",
                attempt);
            return answer.status();
        } catch (SocketTimeoutException e) {
            record.line("client gives up %s: no answer in %d ms", attempt, deadlineMs);
            return 0;
        } catch (IOException e) {
            record.line("client gets no answer to %s: %s", attempt, e.getMessage());
            return 0;
        }
    }
}
