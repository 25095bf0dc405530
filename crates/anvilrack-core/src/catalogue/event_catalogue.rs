//! Catalogue of the numbered log events.

/// One kind of log event.
///
/// A number never changes its meaning, and a number that is no longer used is not assigned again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Event number, unique in the catalogue.
    pub number: u16,
    /// Short name that appears in the log, such as `router.started`.
    pub name: &'static str,
    /// Description of the event for `docs/EVENTS.md`.
    pub meaning: &'static str,
}

macro_rules! catalogue {
    ($($constant:ident = $number:literal, $name:literal, $meaning:literal;)*) => {
        /// Constants for all log events.
        pub mod events {
            use super::LogEvent;
            $(
                #[doc = $meaning]
                pub const $constant: LogEvent =
                    LogEvent { number: $number, name: $name, meaning: $meaning };
            )*
        }

        /// All log events, ordered by number.
        pub const EVENT_CATALOGUE: &[LogEvent] = &[$(events::$constant),*];
    };
}

catalogue! {
    ROUTER_STARTED = 1001, "router.started", "A router started; reports its addresses and location.";
    ROUTER_STOPPING = 1002, "router.stopping", "A graceful shutdown started.";
    ROUTER_STOPPED = 1003, "router.stopped", "A graceful shutdown ended; reports the requests still in flight.";
    LOG_DROPPED = 1004, "log.dropped", "The log writer could not keep up; reports how many lines were dropped.";
    SETTINGS_KEPT = 1005, "settings.kept", "The process was notified of changed settings but kept the current ones.";
    TARGET_WITHDRAWN = 1006, "target.withdrawn", "During a graceful shutdown, the target gets no new requests from now on; reports the requests that it runs and whether it will be served again by the next process.";
    ROUTER_PANICKED = 1007, "router.panicked", "A task of the router ended with an unexpected error, a defect of the router; reports the place in the code and the error.";
    TASK_RESTARTED = 1008, "task.restarted", "A task that runs for the life of the process was started again after an unexpected error.";
    LIMITS_REACHED = 1009, "limits.reached", "Clients have reached the limits of this VM; reports, since the last such line, the bodies that were refused for lack of memory or gave way to others, the connections that were closed for new ones or refused, and the memory that bodies hold.";
    TARGET_ANNOUNCED = 1101, "target.announced", "A target announced itself to the router next to it.";
    TARGET_READY = 1102, "target.ready", "The readiness that the target reports has changed.";
    TARGET_SEEN = 1103, "target.seen", "The target next to this router started a new incarnation; reports its id and slots, and how many shards the record still assigns to the one before.";
    TARGET_LEAVING = 1104, "target.leaving", "The target accepts no new requests; reports the reason and the time since it was last heard from.";
    TARGET_GONE = 1105, "target.gone", "The target has exited; reports how this was detected, how many shards it owned, and how many of these a process that has started since may hold.";
    NOTICE_REFUSED = 1106, "target.notice-refused", "A target notification arrived late or could not be parsed, or is from an incarnation that is leaving, and was ignored; reports why.";
    DEPARTURE_KEPT = 1107, "target.departure-kept", "The target said that it is leaving; reports who keeps this for the next process of this router, or `none` if the target was not acknowledged because nobody does, and the time that it took.";
    DEPARTURES_RESTORED = 1108, "target.departures-restored", "This router learned that incarnations of its target are leaving, which a former process acknowledged; reports how many, from where, and the time since this process started.";
    DEPARTURES_READ = 1109, "target.departures-read", "A router that has started may use its target from now on; reports what allows that, how many departures it knows, how many notifications had to wait, and the time since the start.";
    GRANT_TAKEN = 1201, "grant.taken", "This router was granted shards; reports the shards and their fencing tokens.";
    GRANT_ENDED = 1202, "grant.ended", "This router's grants ended; reports the reason.";
    LEASE_LAPSED = 1203, "lease.lapsed", "The lease expired before it was renewed.";
    SHARD_RELEASED = 1204, "shard.released", "A shard was released, for a planned move or because another incarnation of the target owned it; reports how long grants without a response delayed it.";
    TARGET_TOLD = 1205, "target.told", "The target was notified of grants and releases; reports how many.";
    GRANT_UNANSWERED = 1206, "grant.unanswered", "The target did not respond to a grant or release, which may still take effect.";
    GRANT_REFUSED = 1207, "grant.refused", "The target refused a grant; reports the status and the fencing token.";
    SHARD_KEPT = 1208, "shard.kept", "A released shard is served again, because the store is unavailable and the shard cannot be assigned to another router.";
    CELL_CREATED = 1301, "cell.created", "This router created its cell and is its coordinator.";
    CELL_TAKEN_OVER = 1302, "cell.taken-over", "This router took over as coordinator of its cell.";
    CELL_SUPERSEDED = 1303, "cell.superseded", "Another router took over the cell; this one is no longer its coordinator.";
    CELL_WRITTEN = 1304, "cell.written", "An assignment was written to the store; reports what changed.";
    CELL_WRITE_UNKNOWN = 1305, "cell.write-unknown", "The response to a store write was lost; the record is read back to find out whether the write took effect.";
    OUTAGE_BEGAN = 1306, "store.outage-began", "The store does not respond; the coordinator keeps renewing leases based on the standbys' promises.";
    OUTAGE_ENDED = 1307, "store.outage-ended", "The store responds again.";
    CELL_RESIGNED = 1308, "cell.resigned", "A coordinator that is shutting down or cannot reach the store handed the cell over to a standby.";
    MEMBER_UNREACHABLE = 1309, "member.unreachable", "A member sends heartbeats but calls to it fail; its shards move away.";
    PLACEMENT_DECIDED = 1401, "placement.decided", "A shard was assigned to an owner; reports the owner and the reason.";
    MOVE_PLANNED = 1402, "placement.move-planned", "A shard move was planned; reports the source, the destination and the reason.";
    EVACUATION_BEGAN = 1410, "evacuation.began", "This router learned that a failure domain is evacuated; reports the state of the store, the source, and for how long the keys of the domain may still be served there.";
    EVACUATION_ENDED = 1411, "evacuation.ended", "This router learned that a failure domain is no longer evacuated; reports the state of the store and the source.";
    EVACUATION_KEYS_RELEASED = 1412, "evacuation.keys-released", "The failure domain of this router is evacuated and the time for planned moves is over; reports how many shards are released without a next owner.";
    EVACUATION_KEYS_LEFT = 1413, "evacuation.keys-left", "The target of an evacuated failure domain holds no keys any more; reports the time since this router learned of the evacuation.";
    EVACUATION_FETCH_FAILED = 1414, "evacuation.fetch-failed", "The evacuated failure domains could not be read from another router; reports the router and the reason.";
    CONFIG_TAKEN = 1501, "config.taken", "This router applied a newer configuration.";
    CONFIG_REFUSED = 1502, "config.refused", "An older configuration was received and refused.";
    CONFIG_PUT_BACK = 1503, "config.put-back", "The store held an older configuration; the newest one was written again.";
    SITE_TAKEN = 1504, "site.taken", "A newer site document was applied; reports its version, routes, size and source.";
    SITE_REFUSED = 1505, "site.refused", "A site document is invalid; the previous one stays in use.";
    SITE_BEHIND = 1506, "site.behind", "Another router has a newer site document; reports both versions, and the reader if it was named by the reader of the failure domain.";
    SITE_FETCH_FAILED = 1507, "site.fetch-failed", "A newer site document could not be fetched from one source; reports the source, the reason and the elapsed time.";
    SITE_REGIONS_EMPTY = 1508, "site.regions-empty", "No router is in the regions that some routes of the site document allow, so their requests are refused; reports the version, the number of these routes and some of their names.";
    STORE_LOST = 1601, "store.lost", "The platform's store does not respond to this router.";
    STORE_BACK = 1602, "store.back", "The platform's store responds to this router again; reports the duration of the outage.";
    ENTRY_WRITTEN = 1603, "entry.written", "This router's directory entry was written to the store.";
    ROUTER_SEEN = 1604, "directory.seen", "A router's directory entry was added or changed.";
    ROUTER_LAPSED = 1605, "directory.lapsed", "A router's directory entry expired, and the router is considered gone.";
    ROUTERS_SEEN = 1606, "directory.updated", "Directory entries of several routers were added or changed together; reports how many, and how many of them accept requests.";
    STORE_RESTORED = 1607, "store.restored", "The store came back from an older copy; this router writes its directory entry again, and a coordinator its record. Reports the era of the store.";
    ENTRY_REPLACED = 1608, "entry.replaced", "The store has lost the directory entry of this router, or has that of its former process, whose write took effect late; it is written again.";
    REQUEST_ROUTED = 2001, "request.routed", "A request was answered; reports its destination and its verdict.";
    REQUEST_REFUSED = 2002, "request.refused", "A request was refused; reports the reason.";
    PEER_LOST = 2101, "peer.lost", "A connection to another router failed or timed out.";
    RECORD_HANDED_OVER = 2201, "record.handed-over", "The at-most-once record of a shard was handed over to its next owner; reports the number of entries.";
    RECORD_NOT_TAKEN = 2202, "record.not-taken", "The next owner did not accept the at-most-once record; older requests will be answered as uncertain, since they may have run.";
    RECORD_TAKEN = 2203, "record.taken", "This router received the at-most-once record of a shard that moves to it.";
    RECORD_FULL = 2204, "record.full", "The at-most-once record is full; new non-idempotent requests are refused.";
    CRASH_SUSPECTED = 2205, "crash.suspected", "A target crashed while processing this request; reports a fingerprint of the request's content, and the number of crashes during which the request was running.";
    REQUEST_QUARANTINED = 2206, "request.quarantined", "A request that was running during two crashes is not sent to targets for now; reports the fingerprint of its content and the remaining quarantine.";
    QUARANTINE_STORED = 2207, "quarantine.stored", "The crashes of quarantined requests were written to the store; reports how many are there now.";
    QUARANTINE_READ = 2208, "quarantine.read", "A router that starts has read crashes of quarantined requests from the store; reports how many.";
    ADMISSION_REFUSED = 2301, "admission.refused", "A target has no capacity for a request; reports the reason, the class and the numbers of running and waiting requests.";
    ENTRY_REFUSED = 2302, "entry.refused", "A service or a caller already uses its share of the router's workers.";
    TARGET_SUSPECTED = 2303, "target.suspected", "This router considers a target unhealthy, or healthy again, based on its own requests to it.";
    BODY_REFUSED = 2304, "body.refused", "The network link of this VM has no capacity for a large body; reports how many are in transfer.";
    TARGET_LIMIT = 2305, "target.limit", "The target named another limit on the rate of requests that it takes, or none any more; reports the limit in requests a second.";
    TARGET_LIMIT_INVALID = 2306, "target.limit-invalid", "The target named a limit on the rate of requests that is not a decimal number; the limit before stays in force.";
    TARGET_COLD = 2310, "target.cold", "The target next to this router is cold, so it gets requests at the rate that the site document allows; reports how this was learned, the rate and the remaining time.";
    TARGET_WARM = 2311, "target.warm", "The target next to this router is warm again; reports for how long it was cold.";
    TARGET_CHECKED = 2312, "target.checked", "The health check of the target next to this router was called to learn whether the target is cold; reports the reason and the remaining time, or the error.";
    REQUEST_ANSWERED = 2401, "request.answered", "A response was sent to a caller; reports the outcome, the number of attempts and the elapsed time.";
    REQUEST_TRIED = 2402, "request.tried", "One attempt of a request ended without a response from the target; reports the target and the reason.";
    REQUEST_BARRED = 2403, "request.barred", "The router next to the target was asked whether a request has started, and to cancel it if it has not.";
    REQUEST_LEFT = 2404, "request.left", "A caller disconnected before the response was sent; reports how long it waited.";
    REQUEST_REPEATED = 2410, "request.repeated", "A request is sent again; reports why that is allowed, which router got the attempt before, how many attempts may have run, and whether the retry budget paid for it.";
    REQUEST_REPEAT_DENIED = 2411, "request.repeat-denied", "A request that failed is not sent again, because its attempts, its routers or the retry budget are used up; reports which.";
}
