//! Numbered log events of clients' connections; `docs/EVENTS.md` lists them with their fields.

use guava_log::events;

events! {
    CONNECTIONS_CLOSED "G1101" "clients' connections were closed or refused";
}
