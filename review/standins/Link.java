import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A line between a gateway and the store. A cut is silent: bytes wait until the line is back. */
final class Link {
    private final ServerSocket server;
    private final String target;
    private boolean isCut;

    /** Reads that waited for a change of the configuration. */
    private volatile int longPolls;

    Link(String ip, String target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Threads.start("link", () -> {
            while (true) {
                Socket near = server.accept();
                Threads.start("link-open", () -> open(near));
            }
        });
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    int longPolls() {
        return longPolls;
    }

    synchronized void setCut(boolean cut) {
        isCut = cut;
        notifyAll();
    }

    private synchronized void awaitLine() throws InterruptedException {
        while (isCut) wait();
    }

    private void open(Socket near) throws Exception {
        awaitLine();
        String[] address = target.split(":");
        Socket far = new Socket(address[0], Integer.parseInt(address[1]));
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Threads.start("link-up", () -> copy(near, far));
        copy(far, near);
    }

    private void copy(Socket from, Socket to) throws Exception {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65_536];
            while (true) {
                int count = in.read(buffer);
                if (count < 0) return;
                String text = new String(buffer, 0, Math.min(count, 300), java.nio.charset.StandardCharsets.ISO_8859_1);
                if (text.startsWith("GET /log-read?topic=keyed.op") && text.contains("waitMs=")) longPolls++;
                awaitLine();
                out.write(buffer, 0, count);
                out.flush();
            }
        }
    }
}
