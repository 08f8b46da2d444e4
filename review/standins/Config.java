/** Configurations with the routes of a small deployment. */
final class Config {
    static final String KEY = "key-of-hule930-01";
    static final String HOST = "ficu95.example";

    private Config() {}

    static String route(String path, String kind, String service, int timeoutMs, int attempts, boolean resume) {
        return route("r-" + path, path, kind, service, timeoutMs, attempts, resume);
    }

    static String route(String name, String path, String kind, String service, int timeoutMs, int attempts, boolean resume) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + path + "/\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":600,\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts + ",\"noAuth\":false,\"sticky\":false,\"streamResume\":" + resume + ",\"gapTargetMs\":250}";
    }

    /** A version with [routes], the limits of the users' pages and one tenant without a quota. */
    static String version(int version, String... routes) {
        return versionWith("", version, routes);
    }

    /** The same with further tenants, as JSON that begins with a comma. */
    static String versionWith(String tenants, int version, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\"pool\",\"healthPath\":\"/healthz\",\"maxConns\":822,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConns\":244,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":0,\"burst\":0}" + tenants + "]}";
    }

    static String request(String method, String path, String id, int deadlineMs, String headers, int length) {
        return request(KEY, method, path, id, deadlineMs, headers, length);
    }

    static String request(String key, String method, String path, String id, int deadlineMs, String headers, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + deadlineMs + "\r\nApi-Key: " + key + "\r\n" + headers + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }
}
