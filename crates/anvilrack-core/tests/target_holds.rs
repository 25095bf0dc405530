//! Until when a target may hold the keys of a shard.

use std::time::Duration;

use anvilrack_core::TargetHolds;

/// Defines one test per case.
macro_rules! hold_cases {
    ($($name:ident => $body:block)*) => {
        $(
            #[test]
            fn $name() $body
        )*
    };
}

const SHARD: u32 = 7;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

hold_cases! {
    // A process that had just started reported releases at once.
    grants_of_a_former_process_may_take_effect => {
        let holds = TargetHolds::new(ms(10_000), ms(3_000));
        assert_eq!(holds.may_take_effect_until(SHARD), ms(13_060));
        assert_eq!(holds.may_hold_until(SHARD), ms(13_060));
    }

    // A release that a process had answered was taken for the end of grants that got no response.
    release_does_not_end_grants_without_a_response => {
        let mut holds = TargetHolds::new(ms(10_000), ms(3_000));
        holds.on_unanswered(SHARD, ms(12_000), ms(3_000));
        holds.on_granted(SHARD, ms(12_500), ms(3_000));
        holds.on_released(SHARD);
        assert_eq!(holds.may_take_effect_until(SHARD), ms(15_060));
        assert_eq!(holds.may_hold_until(SHARD), ms(15_060));
        assert_eq!(holds.may_hold_until(SHARD + 1), ms(13_060));
    }

    release_ends_a_grant_that_was_answered => {
        let mut holds = TargetHolds::default();
        holds.on_granted(SHARD, ms(1_000), ms(2_000));
        holds.on_released(SHARD);
        assert_eq!(holds.may_hold_until(SHARD), ms(0));
    }

    refused_connection_ends_earlier_grants => {
        let mut holds = TargetHolds::new(ms(10_000), ms(3_000));
        holds.on_granted(SHARD, ms(11_000), ms(2_000));
        holds.on_unanswered(SHARD + 1, ms(11_000), ms(2_000));
        holds.on_exit(ms(11_001));
        assert_eq!(holds.may_hold_until(SHARD), ms(0));
        assert_eq!(holds.may_hold_until(SHARD + 1), ms(0));
        assert_eq!(holds.former_until(), ms(0));
    }

    // A connection was refused while the target started again, and the refusal was noticed after it had taken a grant.
    refused_connection_does_not_end_a_grant_of_the_next_process => {
        let mut holds = TargetHolds::default();
        holds.on_granted(SHARD, ms(11_000), ms(2_000));
        holds.on_unanswered(SHARD + 1, ms(11_000), ms(2_000));
        holds.on_exit(ms(10_900));
        assert_eq!(holds.may_hold_until(SHARD), ms(13_040));
        assert_eq!(holds.may_take_effect_until(SHARD + 1), ms(13_040));
    }

    unanswered_grant_may_take_effect_until_its_hold_ends => {
        let mut holds = TargetHolds::default();
        holds.on_unanswered(SHARD, ms(1_000), ms(2_000));
        holds.on_unanswered(SHARD, ms(1_100), ms(500));
        assert_eq!(holds.may_take_effect_until(SHARD), ms(3_040));
        assert_eq!(holds.may_take_effect_until(SHARD + 1), ms(0));
    }

    answered_grant_ends_with_its_release => {
        let mut holds = TargetHolds::default();
        holds.on_granted(SHARD, ms(1_000), ms(2_000));
        assert_eq!(holds.may_take_effect_until(SHARD), ms(0));
        assert_eq!(holds.may_hold_until(SHARD), ms(3_040));
    }
}
