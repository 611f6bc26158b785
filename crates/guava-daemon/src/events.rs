//! Numbered log events; `docs/EVENTS.md` is their catalogue and a test holds the two together.

use guava_log::events;

events! {
    STARTED "G1001" "daemon started";
    DRAINING "G1002" "daemon leaves: refuses new work soon, finishes what runs";
    STOPPED "G1003" "daemon stopped";
    LISTENER_FAILED "G1004" "a listener could not be opened";
    KEYS_RELOADED "G1005" "TLS keys were read anew";
    KEYS_REFUSED "G1006" "TLS keys on disk are unusable; the old ones stay in use";
    STATE_RESTORED "G2001" "state restored";
    STATE_UNAVAILABLE "G2002" "neither log nor peers give a state yet";
    RECORD_SKIPPED "G2003" "a log record was skipped";
    CHANGE_FOLDED "G2004" "a configuration change was judged";
    LOG_LOST "G2005" "the log can't be read";
    LOG_BACK "G2006" "the log can be read again";
    SNAPSHOT_WRITTEN "G2007" "snapshot appended";
    STATE_FROM_PEER "G2008" "newer state taken from a peer";
    LOG_SHRANK "G2009" "the log's end is before what was applied";
    RECORD_REFUSED "G2010" "a record of this daemon's could not be written";
    MEMBER_EVICTED "G3001" "a silent daemon is taken off the roster";
    FRESHNESS_CHANGED "G3002" "freshness changed";
    SUPERSEDED "G3003" "another incarnation has this daemon's name; this one takes no new work";
    ROUTED "G4001" "request routed";
    REFUSED "G4002" "request refused";
    REROUTED "G4003" "request routed again";
    RESUMED "G4004" "stream read on over a new connection";
    COMPLETED "G4005" "completion finished";
    INCOMPLETE "G4006" "completion ended incomplete";
    COMPLETION_SENT "G4007" "completion sent to an engine";
    CALL_DISPATCHED "G4101" "service call dispatched";
    CALL_ATTACHED "G4102" "repeat of a key joined its run";
    CALL_GIVEN_UP "G4103" "intent given up before dispatch";
    CALL_FINISHED "G4104" "service call finished";
    CALL_INTENT "G4105" "intent for a key is appended";
    CALL_NOT_SENT "G4106" "service call not sent from here";
    UPSTREAM_LEAVING "G5001" "upstream is leaving and gets no new work";
    UPSTREAM_BACK "G5002" "upstream serves again as a new instance";
    UPSTREAM_SILENT "G5003" "upstream gives no reports";
    UPSTREAM_CRASHED "G5004" "upstream ended under requests";
    UPSTREAM_WORD "G5007" "upstream says something of itself";
    REQUEST_QUARANTINED "G5005" "request is stopped: upstreams end under it";
    REQUEST_CLEARED "G5006" "request is not held against upstreams' ends any more";
    EXPORTED "G6001" "prefix exported to a store";
    EXPORT_DECLINED "G6002" "prefix not exported";
    EXPORT_FAILED "G6003" "export gave no sealed block";
    BLOCK_FREED "G6004" "block freed";
    EVENTS_GAPPED "G6005" "cache events have a gap; what was known of the engine is forgotten";
    LEASE_TAKEN "G7001" "lease taken";
    LEASE_LOST "G7002" "lease lost";
    PLACED "G7003" "order to load a version";
    ORDER_REFUSED "G7004" "order refused by the upstream";
}
