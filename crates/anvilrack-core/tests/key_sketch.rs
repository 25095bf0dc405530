//! Hot keys are found among many others.

use std::sync::Arc;

use anvilrack_core::KeySketch;

/// Sends `hot` in a hundred requests to one key, and the others to all keys in turn.
fn sketch(hot: usize, keys: usize) -> KeySketch {
    let mut sketch = KeySketch::new(64);
    for turn in 0..100_000 {
        let key = if turn % 100 < hot {
            "hot".into()
        } else {
            format!("key-{}", turn % keys)
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
    half_of_all: 50 in 100 over 100_003 keys;
    one_in_twenty: 5 in 100 over 100_003 keys;
    one_in_fifty_among_few: 2 in 100 over 997 keys;
}

#[test]
fn what_was_hot_is_forgotten() {
    let mut sketch = sketch(5, 100_003);
    for _ in 0..20 {
        sketch.decay();
    }
    assert!(sketch.hottest(1).is_empty());
}
