import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The gateways, as processes with the command of the deploy file, on loopback addresses. */
final class Fleet implements AutoCloseable {
    final class Gateway {
        final String name;
        final String ip;
        final int front;
        final int ready;
        final Path settings;
        final Path log;
        Process process;

        /** Where the gateway reaches the store. */
        String storeAddress = store.address();

        Gateway(int number) throws IOException {
            name = "edge-" + number;
            ip = prefix + "." + (10 + number);
            front = freePort(ip);
            ready = freePort(ip);
            settings = folder.resolve(name + ".json");
            log = folder.resolve(name + ".log");
        }

        void start(boolean isFirst) throws IOException {
            int peer = peerPort;
            String text = "{\"node\":\"" + name + "\",\"role\":\"gateway\",\"machineClass\":\"edge\",\"serves\":[\"edge\"],\"ip\":\"" + ip + "\",\"zone\":\"a\",\"region\":\"r\",\"zones\":{\"a\":\"r\"},"
                + "\"listen\":{\"front\":\"" + ip + ":" + front + "\",\"ready\":\"" + ip + ":" + ready + "\"},\"portRange\":[" + peer + "," + (peer + 15) + "],\"seeds\":[],\"bootstrap\":" + isFirst + ",\"countLoss\":false,"
                + "\"limits\":{\"cpuShare\":0.51,\"cores\":1,\"memoryMb\":352,\"maxFds\":2069,\"linkMbps\":490,\"diskMb\":0},\"dataDir\":null,\"heartbeatMs\":1200,"
                + "\"bounds\":{\"seedLagS\":3,\"reuseDelayS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"budgetSlack\":129,\"quotaWindowS\":8,\"quotaOverage\":0.1,\"quotaSlack\":140000,\"recoverS\":12},"
                + "\"platform\":{\"address\":\"" + storeAddress + "\",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000,\"parts\":8,\"appendMs\":4.0,\"recordBytes\":262144,\"callBytes\":2097152,\"keep_s\":300}}";
            Files.writeString(settings, text);
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("COWSLIPCART_CONFIG", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, ready), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(Http.bytes("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"));
                return Http.readHead(Http.buffered(socket.getInputStream())).status() == 200;
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        }
    }

    /** Whether the case is over and ends the gateways. */
    volatile boolean isClosing;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    final String prefix;
    private final Path folder;
    private final List<String> command;
    private final int peerPort;

    /** The command of the deploy file is started in the current folder, the root of the repository. */
    Fleet(int count) throws Exception {
        prefix = "127." + (64 + (int) (ProcessHandle.current().pid() % 64)) + "." + (int) (System.nanoTime() / 1_000 % 200 + 20);
        folder = Files.createTempDirectory("review");
        store = new Store(prefix + ".2");
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("no command in deploy/system.toml");
        command = List.of(run.group(1).split(" "));
        if (!new File("target/cowslipcart.jar").exists()) throw new IOException("target/cowslipcart.jar is missing");
        peerPort = 7_600;
        for (int number = 1; number <= count; number++) gateways.add(new Gateway(number));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    void startAll() throws Exception {
        for (Gateway gateway : gateways) gateway.start(true);
        awaitReady();
    }

    void awaitReady() throws Exception {
        long endNs = System.nanoTime() + 30_000_000_000L;
        for (Gateway gateway : gateways) {
            while (!gateway.isReady()) {
                if (System.nanoTime() > endNs) throw new IOException(gateway.name + " isn't ready after 30 s");
                Thread.sleep(100);
            }
        }
    }

    /** Logs of the gateways, for a look after the run. */
    Path folder() {
        return folder;
    }

    @Override
    public void close() {
        isClosing = true;
        for (Gateway gateway : gateways) {
            if (gateway.process == null) continue;
            gateway.process.destroyForcibly();
            try {
                gateway.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }
}
