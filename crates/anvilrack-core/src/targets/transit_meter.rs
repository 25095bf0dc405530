//! Measures how long messages of one sender were delayed on their way.

use std::time::Duration;

use crate::BootTime;

/// Period over which the fastest message is remembered; the period before counts too.
///
/// Short enough that the clocks of two VMs do not drift apart noticeably.
const PERIOD: Duration = Duration::from_secs(10);

/// Maximum delay that is possible; a greater one means that the sender's clock has started anew.
///
/// Links are closed and their messages lost after a shorter silence.
const MAX_DELAY: Duration = Duration::from_secs(3);

/// Compares the times at which messages were sent, by the sender's clock, with the times of their arrival.
///
/// The clocks of two VMs start at different times. The message with the least difference was not delayed,
/// so any greater difference is a delay: by a slow link, or by a process that was suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransitMeter {
    period_began_at: BootTime,
    /// Least difference in this period and in the one before, in microseconds.
    least_us: Option<i64>,
    previous_least_us: Option<i64>,
}

impl TransitMeter {
    /// Records a message, and returns by how much it was delayed more than the fastest recent one.
    ///
    /// `sent_at` is the time by the sender's clock, `received_at` by the receiver's.
    pub fn record(&mut self, sent_at: BootTime, received_at: BootTime) -> Duration {
        if received_at >= self.period_began_at + PERIOD {
            self.previous_least_us = self.least_us.take();
            self.period_began_at = received_at;
        }
        let difference_us = micros(received_at).saturating_sub(micros(sent_at));
        let least_us = [self.least_us, self.previous_least_us];
        let least_us = least_us.into_iter().flatten().min();
        let delay_us = least_us.map_or(0, |least| difference_us.saturating_sub(least));
        let delay = Duration::from_micros(u64::try_from(delay_us).unwrap_or(0));
        if delay > MAX_DELAY {
            *self = Self {
                period_began_at: received_at,
                least_us: Some(difference_us),
                previous_least_us: None,
            };
            return Duration::ZERO;
        }
        let least_us = self
            .least_us
            .map_or(difference_us, |least| least.min(difference_us));
        self.least_us = Some(least_us);
        delay
    }
}

fn micros(time: BootTime) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
