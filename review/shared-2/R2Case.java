import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One case: it starts the stand-ins and the gateways, plays the disruption unless TROUBLE is 0, and
 * judges one rule. The process exits with 1 if the rule was broken, 0 if it held, and 2 if the case
 * could not run.
 */
abstract class R2Case {
    static final String HOST = "ficu95.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<R2Gateway> gateways = new ArrayList<>();
    R2Record record;
    R2Store store;
    private Path temporary;
    private int peerPort;
    private List<String> addresses;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws IOException;

    static void main(R2Case played, String folder) {
        Runtime.getRuntime().addShutdownHook(new Thread(played::end));
        int status = 2;
        try {
            played.record = new R2Record(Path.of(folder));
            played.temporary = Files.createTempDirectory("review-2-");
            played.store = new R2Store("127.0.0.1");
            status = played.play() ? 0 : 1;
        } catch (IOException | RuntimeException e) {
            System.out.println("the case could not run: " + e);
            e.printStackTrace();
        }
        System.exit(status);
    }

    private void end() {
        for (R2Gateway gateway : gateways) {
            gateway.close();
        }
        if (record == null || temporary == null) {
            return;
        }
        record.close();
        try (var files = Files.walk(temporary)) {
            if (System.getenv("KEEP") == null) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            } else {
                System.out.println("logs in " + temporary);
            }
        } catch (IOException e) {
            System.out.println("files are left in " + temporary);
        }
    }

    /** Adds a gateway that is not started yet; `most` bounds their number over the case. */
    R2Gateway addGateway(int most) throws IOException {
        if (addresses == null) {
            addresses = R2Gateway.addresses(most);
            peerPort = R2Gateway.freePort(addresses.get(0));
        }
        int index = gateways.size();
        R2Gateway gateway = new R2Gateway(record, temporary, "edge-" + (index + 1),
            addresses.get(index), index % 2 == 0 ? "fj-west-a" : "fj-west-b", peerPort,
            store.address);
        gateways.add(gateway);
        return gateway;
    }

    /** Starts gateways for the first time, and waits until they are ready. */
    void startFirst(int count, int most) throws IOException {
        for (int i = 0; i < count; i++) {
            addGateway(most).start();
        }
        for (R2Gateway gateway : gateways) {
            awaitReady(gateway);
            gateway.markStarted();
        }
    }

    void awaitReady(R2Gateway gateway) throws IOException {
        if (!gateway.awaitReady(20_000)) {
            throw new IOException(gateway.node + " did not become ready");
        }
        record.line("%s is ready", gateway.node);
    }

    /** The operator's configuration with routes and tenants, in the form of the pages. */
    void configure(int version, String routes, String tenants) {
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes
            + "],\"services\":[{\"name\":\"model-pool\",\"healthPath\":\"/healthz\","
            + "\"maxConns\":822,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":13,"
            + "\"kvCapacity\":756803,\"stride\":6}},{\"name\":\"inspect-app\",\"healthPath\":"
            + "\"/healthz\",\"maxConns\":244,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[" + tenants + "]}");
        record.line("the operator writes configuration %d", version);
    }

    static String route(String name, String prefix, String kind, String service, int timeoutMs,
            int aimMs, int priority, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
            + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":"
            + aimMs + ",\"priority\":" + priority + ",\"service\":\"" + service
            + "\",\"maxAttempts\":" + attempts + ",\"noAuth\":false,\"sticky\":false,"
            + "\"streamResume\":false,\"gapTargetMs\":250}";
    }

    /** A tenant with one key; a rate of 0 is no limit. */
    static String tenant(String name, String key, String unit, double ratePerS, double burst) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"],\"priority\":1,\"unit\":\""
            + unit + "\",\"plainTokens\":200,\"ratePerS\":" + ratePerS + ",\"burst\":" + burst
            + "}";
    }
}
