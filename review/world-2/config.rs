//! Configurations that the operator writes.

/// The key of all clients.
pub const KEY: &str = "key-a";

/// A configuration with one tenant.
pub fn config(version: u64, routes: &str, services: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{}],\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"tenant-a\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        services.join(",")
    )
}

/// A route to model servers.
pub fn stream_route(prefix: &str, service: &str, priority: u8) -> String {
    format!(
        "{{\"name\":\"r-{service}\",\"host\":\"app.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"streaming\",\"timeoutMs\":10000,\"sloMs\":1000,\"priority\":{priority},\"service\":\"{service}\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":300}}"
    )
}

/// A service of model servers.
pub fn engine_service(name: &str, slots: usize, memory: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{slots},\"kvCapacityTokens\":{memory},\"kvTokenBytes\":18432,\"linkMbps\":180000.0,\"moves\":true,\"backups\":true,\"managed\":true,\"stride\":4,\"maxConcurrent\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m0\"}}]}}}}"
    )
}
