//! Log lines for numbered events.

/// Writes a log line for an event of [`anvilrack_core::events`]: its number, its name, then its
/// fields.
///
/// ```
/// use anvilrack_core::events;
/// use anvilrack_router::log_event;
///
/// log_event!(Info, events::GRANT_TAKEN, "shards" = 16, "epoch" = 3);
/// ```
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $field:literal = $value:expr)* $(,)?) => {
        if log::log_enabled!(target: "anvilrack", log::Level::$level) {
            let event: anvilrack_core::LogEvent = $event;
            log::log!(
                target: "anvilrack",
                log::Level::$level,
                concat!("E{} {}", $(" ", $field, "={}"),*),
                event.number,
                event.name
                $(, $value)*
            );
        }
    };
}
