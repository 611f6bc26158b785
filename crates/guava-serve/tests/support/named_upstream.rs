//! An upstream that tells requests apart by their ids, and answers each by a script of its own.

use super::scripted::{ReceivedRequest, ScriptStep, ScriptedUpstream};
use guava_types::FastMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Chooses the script for a request by the number of its send, 0 first, and the head.
pub type ScriptChoice = Box<dyn Fn(usize, &str) -> Vec<ScriptStep> + Send>;

/// The id of a request, unlike that of any other on this machine; all are of one length.
pub fn new_id() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    format!("r{:06x}{:04x}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst))
}

struct NamedScript {
    choice: ScriptChoice,
    sends: usize,
}

type NamedScripts = FastMap<String, NamedScript>;

/// An upstream that expects requests by their ids.
pub struct NamedUpstream {
    pub upstream: ScriptedUpstream,
    scripts: Arc<Mutex<NamedScripts>>,
}

impl NamedUpstream {
    /// Starts an upstream that expects no request yet; it closes the connection of one that it does
    /// not expect.
    pub fn start() -> Self {
        let scripts = Arc::<Mutex<NamedScripts>>::default();
        let shared = Arc::clone(&scripts);
        let upstream = ScriptedUpstream::with_script(move |_, head| {
            let mut scripts = shared.lock().unwrap();
            let Some(script) = scripts.get_mut(id_of(head)) else { return vec![ScriptStep::Close] };
            script.sends += 1;
            (script.choice)(script.sends - 1, head)
        });
        Self { upstream, scripts }
    }

    /// Expects the request of this id.
    pub fn expect(&self, id: &str, choice: ScriptChoice) {
        let script = NamedScript { choice, sends: 0 };
        self.scripts.lock().unwrap().insert(id.to_owned(), script);
    }

    /// Closes the upstream, and returns the sends of each request. Prints those of unexpected ones.
    pub fn finish(self) -> FastMap<String, Vec<ReceivedRequest>> {
        self.upstream.close();
        let scripts = self.scripts.lock().unwrap();
        let mut sends: FastMap<String, Vec<ReceivedRequest>> = FastMap::default();
        for request in self.upstream.received() {
            let id = id_of(&request.head);
            if scripts.contains_key(id) {
                sends.entry(id.to_owned()).or_default().push(request);
            } else {
                println!("foreign request at {}: {request:?}", self.upstream.address);
            }
        }
        sends
    }
}

/// The id that a request names; empty if it names none.
pub fn id_of(head: &str) -> &str {
    head.lines().find_map(|line| line.strip_prefix("x-request: ")).unwrap_or_default()
}
