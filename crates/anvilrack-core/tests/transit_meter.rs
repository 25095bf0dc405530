//! Delays of messages between VMs whose clocks started at different times.

use std::time::Duration;

use anvilrack_core::TransitMeter;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

macro_rules! delay_cases {
    ($($name:ident: [$(sent $sent:literal received $received:literal delay $delay:literal),*];)*) => {
        $(
            #[test]
            fn $name() {
                let mut meter = TransitMeter::default();
                $(
                    let delay = meter.record(ms($sent), ms($received));
                    assert_eq!(delay, ms($delay), "sent at {} ms", $sent);
                )*
            }
        )*
    };
}

delay_cases! {
    delay_is_measured_against_the_fastest_message: [sent 1_000 received 500_012 delay 0, sent 1_100 received 500_112 delay 0, sent 1_200 received 500_912 delay 700];
    clock_of_the_sender_may_be_ahead: [sent 900_000 received 1_012 delay 0, sent 900_100 received 1_312 delay 200];
    faster_message_sets_a_new_base: [sent 1_000 received 2_050 delay 0, sent 1_100 received 2_112 delay 0, sent 1_200 received 2_250 delay 38];
    clocks_that_drift_apart_show_no_delay: [sent 10_000 received 20_000 delay 0, sent 20_000 received 30_001 delay 1, sent 30_000 received 40_002 delay 1, sent 40_000 received 50_003 delay 1, sent 50_000 received 60_004 delay 1];
    clock_that_starts_anew_shows_no_delay: [sent 800_000 received 900_000 delay 0, sent 50 received 905_000 delay 0, sent 150 received 905_100 delay 0, sent 250 received 905_500 delay 300];
    message_after_a_long_silence_is_still_measured: [sent 1_000 received 2_000 delay 0, sent 21_000 received 22_400 delay 400];
}
