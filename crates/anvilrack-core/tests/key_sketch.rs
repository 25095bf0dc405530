//! Detection of hot keys among many other keys.

use std::sync::Arc;

use anvilrack_core::KeySketch;

/// Counts 100,000 requests: `hot` percent for one key, the others spread evenly over `keys` keys.
fn sketch(hot: usize, keys: usize) -> KeySketch {
    let mut sketch = KeySketch::new(64);
    for index in 0..100_000 {
        let key = if index % 100 < hot {
            "hot".into()
        } else {
            format!("key-{}", index % keys)
        };
        sketch.count(&Arc::from(key));
    }
    sketch
}

macro_rules! sketch_cases {
    ($($name:ident: $hot:literal in 100 over $keys:literal keys;)*) => {
        $(
            #[test]
            fn $name() {
                let hottest = sketch($hot, $keys).hottest(1);
                let (key, known) = &hottest[0];
                assert_eq!(&**key, "hot");
                let sent = 1_000 * $hot;
                assert!(known.count >= sent && known.count - known.error <= sent, "{known:?}");
            }
        )*
    };
}

sketch_cases! {
    hot_key_with_half_of_all_requests: 50 in 100 over 100_003 keys;
    hot_key_with_one_in_twenty: 5 in 100 over 100_003 keys;
    hot_key_with_one_in_fifty_among_few_keys: 2 in 100 over 997 keys;
}

#[test]
fn decay_removes_a_key_that_is_no_longer_hot() {
    let mut sketch = sketch(5, 100_003);
    for _ in 0..20 {
        sketch.decay();
    }
    assert!(sketch.hottest(1).is_empty());
}
