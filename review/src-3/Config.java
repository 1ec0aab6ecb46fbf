import java.util.ArrayList;
import java.util.List;

/** The operator's configuration: some services, each with a route for safe and one for unsafe requests. */
final class Config {
    private Config() {}

    static String of(int version, int services, int moreRoutes) {
        List<String> routes = new ArrayList<>();
        List<String> upstreams = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            routes.add(route("view-" + i, "idempotent", "/view" + i + "/", "svc" + i, 2));
            routes.add(route("hold-" + i, "non_idempotent", "/hold" + i + "/", "svc" + i, 2));
            upstreams.add("{\"name\":\"svc" + i + "\",\"health_path\":\"/health\",\"max_connections\":660,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":7.6}");
        }
        for (int i = 0; i < moreRoutes; i++) {
            routes.add(route("more-" + i, "idempotent", "/more" + i + "/", "svc0", 2));
        }
        return "{\"version\":\"r" + version + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},\"base_version\":\"r" + (version - 1)
                + "\",\"listeners\":[{\"host\":\"app.example\",\"policy\":[" + String.join(",", routes)
                + "]}],\"upstreams\":[" + String.join(",", upstreams) + "]}";
    }

    private static String route(String name, String type, String prefix, String service, int attempts) {
        return "{\"name\":\"" + name + "\",\"route_type\":\"" + type + "\",\"target_latency\":\"600ms\",\"priority\":1,"
                + "\"session_affinity\":false,\"match\":{\"prefix\":\"" + prefix + "\"},\"action\":{\"service\":\""
                + service + "\",\"timeout\":\"4000ms\",\"attempts\":" + attempts + ",\"allowed_regions\":[]}}";
    }
}
