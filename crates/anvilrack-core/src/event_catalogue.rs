//! The numbered log events.

/// One kind of log line.
///
/// The number never changes its meaning; a number that is no longer used is not given out again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Number, unique in the catalogue.
    pub number: u16,
    /// Short name.
    pub name: &'static str,
    /// What it means, for `docs/EVENTS.md`.
    pub meaning: &'static str,
}

macro_rules! catalogue {
    ($($constant:ident = $number:literal, $name:literal, $meaning:literal;)*) => {
        /// One constant for each event.
        pub mod events {
            use super::LogEvent;
            $(
                #[doc = $meaning]
                pub const $constant: LogEvent =
                    LogEvent { number: $number, name: $name, meaning: $meaning };
            )*
        }

        /// All events in the order of their numbers.
        pub const EVENT_CATALOGUE: &[LogEvent] = &[$(events::$constant),*];
    };
}

catalogue! {
    ROUTER_STARTED = 1001, "router.started", "A router started; says its addresses and place.";
    ROUTER_STOPPING = 1002, "router.stopping", "A graceful stop began.";
    ROUTER_STOPPED = 1003, "router.stopped", "A graceful stop ended; says what was still in flight.";
    LOG_DROPPED = 1004, "log.dropped", "The log could not keep up; says how many lines were dropped.";
    SETTINGS_KEPT = 1005, "settings.kept", "The process was told that its settings changed; those in force were kept.";
    TARGET_ANNOUNCED = 1101, "target.announced", "A target announced itself to the router beside it.";
    TARGET_READY = 1102, "target.ready", "The target's own answer about being ready changed.";
    TARGET_SEEN = 1103, "target.seen", "The target beside this router began a new life; says its id, start and slots.";
    TARGET_LEAVING = 1104, "target.leaving", "The target takes no new work; says why and how long ago it was heard from.";
    TARGET_GONE = 1105, "target.gone", "The target has ended; says what showed it.";
    NOTICE_REFUSED = 1106, "target.notice-refused", "A notice of a target was late or cannot be read, and changed nothing.";
    GRANT_TAKEN = 1201, "grant.taken", "This router was granted shards; says which and with what tokens.";
    GRANT_ENDED = 1202, "grant.ended", "This router's grants ended; says why.";
    LEASE_LAPSED = 1203, "lease.lapsed", "The lease ran out before it was renewed.";
    SHARD_RELEASED = 1204, "shard.released", "A shard was given back for a planned move.";
    TARGET_TOLD = 1205, "target.told", "The target was told of grants and releases; says how many.";
    GRANT_UNANSWERED = 1206, "grant.unanswered", "The target did not answer a grant or release, which may still take effect.";
    GRANT_REFUSED = 1207, "grant.refused", "The target refused a grant; says its status and the token.";
    SHARD_KEPT = 1208, "shard.kept", "A shard that was given back is served again: the store is away, so nobody else can have it.";
    CELL_CREATED = 1301, "cell.created", "This router created its cell and coordinates it.";
    CELL_TAKEN_OVER = 1302, "cell.taken-over", "This router took its cell over.";
    CELL_SUPERSEDED = 1303, "cell.superseded", "Another router took the cell over; this one stands down.";
    CELL_WRITTEN = 1304, "cell.written", "An assignment is in the store; says what changed.";
    CELL_WRITE_UNKNOWN = 1305, "cell.write-unknown", "The reply to a write was lost; it is being read back.";
    OUTAGE_BEGAN = 1306, "store.outage-began", "The store does not answer; the cell goes on under promises.";
    OUTAGE_ENDED = 1307, "store.outage-ended", "The store answers again.";
    CELL_RESIGNED = 1308, "cell.resigned", "A coordinator that stops handed its office to a standby.";
    MEMBER_UNREACHABLE = 1309, "member.unreachable", "A member sends heartbeats but cannot be called; its shards move away.";
    PLACEMENT_DECIDED = 1401, "placement.decided", "A shard was given to an owner; says which and why.";
    MOVE_PLANNED = 1402, "placement.move-planned", "A shard is to move; says from where, to where and why.";
    CONFIG_TAKEN = 1501, "config.taken", "A newer configuration is in force on this router.";
    CONFIG_REFUSED = 1502, "config.refused", "An older configuration was offered and refused.";
    CONFIG_PUT_BACK = 1503, "config.put-back", "The store held an older configuration; the newest one was written back.";
    SITE_TAKEN = 1504, "site.taken", "A newer document of routes is in force; says its version and routes.";
    SITE_REFUSED = 1505, "site.refused", "A document of routes cannot be used; the one before stays in force.";
    STORE_LOST = 1601, "store.lost", "The platform's store does not answer this router.";
    STORE_BACK = 1602, "store.back", "The platform's store answers this router again; says after how long.";
    ENTRY_WRITTEN = 1603, "entry.written", "This router's directory entry is in the store.";
    ROUTER_SEEN = 1604, "directory.seen", "A router's directory entry came or changed.";
    ROUTER_LAPSED = 1605, "directory.lapsed", "A router's directory entry lapsed, and the router is taken as gone.";
    REQUEST_ROUTED = 2001, "request.routed", "A request was answered; says to where it went and its verdict.";
    REQUEST_REFUSED = 2002, "request.refused", "A request was refused; says why.";
    PEER_LOST = 2101, "peer.lost", "A link to another router broke or went silent.";
    RECORD_HANDED_OVER = 2201, "record.handed-over", "The at-most-once record of a shard went to its next owner; says how many entries.";
    RECORD_NOT_TAKEN = 2202, "record.not-taken", "The next owner did not take the at-most-once record; older requests will be told that they may have run.";
    RECORD_TAKEN = 2203, "record.taken", "This router took the at-most-once record of a shard that moves to it.";
    RECORD_FULL = 2204, "record.full", "The at-most-once record has no room; new non-idempotent requests are refused.";
    CRASH_SUSPECTED = 2205, "crash.suspected", "A target crashed while it ran this request; says at how many crashes the request was.";
    REQUEST_QUARANTINED = 2206, "request.quarantined", "A request that was at two crashes is kept off the targets; says for how long still.";
    ADMISSION_REFUSED = 2301, "admission.refused", "A target has no room for a request; says why, its class and what runs and waits.";
    ENTRY_REFUSED = 2302, "entry.refused", "One service or one caller has its share of a router's workers already.";
    TARGET_SUSPECTED = 2303, "target.suspected", "This router's own requests say that a target is sick, or well again.";
    BODY_REFUSED = 2304, "body.refused", "There is no room for a long body on the link of this VM; says how many are on their way.";
    REQUEST_ANSWERED = 2401, "request.answered", "A caller got its answer; says the outcome, the tries and the time.";
    REQUEST_TRIED = 2402, "request.tried", "One try of a request ended without its target's answer; says where and why.";
    REQUEST_BARRED = 2403, "request.barred", "The router beside the target was asked whether a request has begun, and to bar it.";
    REQUEST_LEFT = 2404, "request.left", "A caller left before its answer; says how long it waited.";
}
