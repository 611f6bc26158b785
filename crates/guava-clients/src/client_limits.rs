//! Limits of what clients hold.

/// Memory that an open connection takes whatever its client does, in bytes: its socket, its task and the
/// HTTP library's first buffers.
pub const CONNECTION_BYTES: usize = 18 << 10;
/// Memory that a request in service takes beside its head and body, in bytes: its task, and the
/// connection to its upstream with that one's buffers.
pub const REQUEST_BYTES: usize = 32 << 10;

/// Limits of all clients of a process together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes that connections and requests may hold.
    pub bytes: usize,
    /// Connections that may be open at all listeners.
    pub connections: usize,
    /// Size of each of the two buffers that the kernel keeps for a connection.
    pub socket_buffer_bytes: usize,
}

impl ClientLimits {
    /// Most connections: of the places, as many as may be open with half of the bytes.
    pub(crate) fn places(&self) -> usize {
        self.connections.min(self.bytes / 2 / CONNECTION_BYTES).max(1)
    }
}

/// Times that a client may take, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTimes {
    /// Between two requests.
    pub idle_ms: u64,
    /// From the first byte of a request's head to its last one.
    pub head_ms: u64,
    /// From when a piece of an answer is ready to be written to when it is taken.
    pub answer_ms: u64,
}

/// One listener's share of the places, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerPlaces {
    /// Name, by which the listener is told from the others.
    pub name: &'static str,
    /// Most of all places that its connections may take.
    pub most_permille: usize,
}

impl ListenerPlaces {
    /// The listener's most connections of so many places; at least one.
    pub(crate) fn most_of(&self, places: usize) -> usize {
        (places * self.most_permille / 1_000).max(1)
    }
}
