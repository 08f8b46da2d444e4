import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway as a process, started with the command of the deploy file. */
final class R2Gateway implements AutoCloseable {
    static final int METRICS_PORT = 9464;
    static final int GRACE_MS = 8_000;

    final String node;
    final String ip;
    private final int frontPort;
    private final int readyPort;
    private final Path folder;
    private final Path settings;
    private final R2Record record;
    private final String zone;
    private final int peerPort;
    private final String storeAddress;
    private Process process;

    /** The settings of a machine of playsafe-fiji; peers use `peerPort` on their own addresses. */
    R2Gateway(R2Record record, Path folder, String node, String ip, String zone, int peerPort,
            String storeAddress) throws IOException {
        this.record = record;
        this.folder = folder;
        this.node = node;
        this.ip = ip;
        frontPort = freePort(ip);
        readyPort = freePort(ip);
        settings = folder.resolve(node + ".json");
        this.zone = zone;
        this.peerPort = peerPort;
        this.storeAddress = storeAddress;
        writeSettings(true);
    }

    /** Only the first start of the whole system has bootstrap. */
    private void writeSettings(boolean bootstrap) throws IOException {
        String text = """
            {"node":"%s","role":"gateway","machineClass":"edge","serves":["edge"],"ip":"%s",
            "zone":"%s","region":"fj-west","zones":{"fj-west-a":"fj-west","fj-west-b":"fj-west"},
            "listen":{"front":"%s:%d","ready":"%s:%d"},"portRange":[%d,%d],"seeds":[],
            "bootstrap":%b,"countLoss":false,
            "limits":{"cpuShare":0.51,"cores":1,"memoryMb":352,"maxFds":2069,"linkMbps":490,
            "diskMb":0},
            "dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
            "contracts":["base","drain","config","cost","retry","recover","engine","stream",
            "tenants","quota","platform"],
            "faultTolerance":{"machines":2,"zones":0,"regions":0},
            "bounds":{"seedLagS":3,"reuseDelayS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,
            "drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,
            "rollbackSlackMs":250,"maxStretchMs":5000,"strictRevoke":false,"revokeMs":5000,
            "retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":129,"quotaWindowS":8,
            "quotaOverage":0.1,"quotaSlack":140000,"recoverS":12,"passMs":120,"reuseWindowS":10},
            "platform":{"address":"%s","form":"log","writesPerS":400,"readsPerS":2000,"parts":8,
            "appendMs":4.0,"ingestPerS":20.0,"egressPerS":80.0,"recordBytes":262144,
            "callBytes":2097152,"keep_s":300,"partMb":200,"minTtlMs":1000}}
            """.formatted(node, ip, zone, ip, frontPort, ip, readyPort, peerPort, peerPort + 15,
            bootstrap, storeAddress);
        Files.writeString(settings, text);
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("COWSLIPCART_CONFIG", settings.toString());
        builder.directory(root().toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
            ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
        process = builder.start();
        record.line("%s is started", node);
    }

    /** The next start is not the first one of the whole system. */
    void markStarted() throws IOException {
        writeSettings(false);
    }

    /** Waits until the readiness check passes; returns false after the time. */
    boolean awaitReady(long timeoutMs) {
        long endNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < endNs) {
            if (isReady()) {
                return true;
            }
            R2Threads.pause(50);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, readyPort), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(
                ("GET /readyz HTTP/1.1\r\nHost: " + ip + "\r\n\r\n").getBytes());
            R2Http answer = R2Http.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    InetSocketAddress front() {
        return new InetSocketAddress(ip, frontPort);
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** SIGTERM, and SIGKILL after the grace time; returns when the process has ended. */
    void terminate() {
        record.line("%s gets SIGTERM", node);
        process.destroy();
        if (!ended(GRACE_MS)) {
            record.line("%s gets SIGKILL after the grace time", node);
            process.destroyForcibly();
            ended(5_000);
        }
        record.line("%s has ended", node);
    }

    void kill() {
        record.line("%s gets SIGKILL", node);
        process.destroyForcibly();
        ended(5_000);
    }

    private boolean ended(long timeoutMs) {
        try {
            return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            ended(5_000);
        }
    }

    /** Root of the repository, which the run script names. */
    static Path root() {
        return Path.of(System.getProperty("review.root")).toAbsolutePath().normalize();
    }

    /** The words of the run command in the deploy file. */
    private static List<String> command() throws IOException {
        String text = Files.readString(root().resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(text);
        if (!matcher.find()) {
            throw new IOException("no run command in the deploy file");
        }
        return new ArrayList<>(List.of(matcher.group(1).split(" ")));
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /**
     * Returns loopback addresses for gateways, on each of which the port of the metrics is free.
     */
    static List<String> addresses(int count) throws IOException {
        List<String> free = new ArrayList<>();
        int net = 16 + (int) (ProcessHandle.current().pid() % 200);
        for (int host = 1; free.size() < count && host < 60_000; host++) {
            String ip = "127." + net + "." + (host / 250) + "." + (host % 250 + 1);
            try (ServerSocket socket =
                    new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
                free.add(ip);
            } catch (IOException e) {
                // Another process uses the port there.
            }
        }
        if (free.size() < count) {
            throw new IOException("too few free loopback addresses");
        }
        return free;
    }
}
