//! Metrics as StatsD over UDP; `docs/METRICS.md` lists names and units.

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};
use std::net::{SocketAddr, UdpSocket};

const PREFIX: &str = "guavatiller";

/// Where metrics go.
pub struct MetricSink {
    client: StatsdClient,
}

impl MetricSink {
    /// Sends to an address, or nowhere.
    pub fn new(address: Option<SocketAddr>) -> Self {
        let client = address
            .and_then(|address| {
                let socket = UdpSocket::bind(("0.0.0.0", 0)).ok()?;
                socket.set_nonblocking(true).ok()?;
                let sink = UdpMetricSink::from(address, socket).ok()?;
                Some(StatsdClient::from_sink(PREFIX, sink))
            })
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { client }
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        // A metric that can't be sent is lost; requests go on.
        drop(self.client.count(name, 1));
    }

    /// Counts so many events.
    pub fn count_many(&self, name: &str, count: u64) {
        drop(self.client.count(name, count));
    }

    /// Records a time in milliseconds.
    pub fn time_ms(&self, name: &str, millis: u64) {
        drop(self.client.time(name, millis));
    }

    /// Records a level.
    pub fn gauge(&self, name: &str, level: u64) {
        drop(self.client.gauge(name, level));
    }
}
