//! Settings are checked, and a fault names the field.

use std::path::PathBuf;
use std::time::Duration;

use anvilrack_node::{NodeSettings, parse_duration};

const GOOD: &str = r#"{
  // as the platform fills it in
  "node": "r1", "failure_domain": "norte-a", "region": "norte", "service": "views",
  "target": "127.0.0.1:1",
  "listen": { "callers": "127.0.0.1:2", "peers": "127.0.0.1:3", "ready": "127.0.0.1:4",
              "control": "127.0.0.1:5", "metrics": "127.0.0.1:6" },
  "store": "127.0.0.1:7",
  "terms": { "drain": "2000ms", "stop_grace": "6s" }
}"#;

fn read(name: &str, text: &str) -> Result<NodeSettings, String> {
    let file: PathBuf =
        std::env::temp_dir().join(format!("anvilrack-{}-{name}", std::process::id()));
    std::fs::write(&file, text).expect("a scratch file can be written");
    let settings = NodeSettings::read(&file).map_err(|error| error.to_string());
    std::fs::remove_file(&file).expect("the scratch file is there");
    settings
}

#[test]
fn good_settings_are_taken() {
    let settings = read("good", GOOD).expect("these are good");
    assert_eq!(settings.terms.drain, Duration::from_secs(2));
    assert_eq!(settings.terms.longest_hold, Duration::from_secs(10));
}

#[test]
fn router_behind_a_relay_says_where_it_is_reached() {
    let direct = read("direct", GOOD).expect("these are good");
    assert_eq!(direct.peer_address(), direct.listen.peers);
    let relayed = GOOD.replace(
        "\"store\"",
        "\"advertised_peers\": \"127.0.0.1:9\", \"store\"",
    );
    let relayed = read("relayed", &relayed).expect("these are good");
    assert_eq!(relayed.peer_address().port(), 9);
}

macro_rules! faults {
    ($($name:ident: $from:literal => $to:literal, $says:literal;)*) => {$(
        #[test]
        fn $name() {
            let fault = read(stringify!($name), &GOOD.replace($from, $to)).expect_err("a fault");
            assert!(fault.contains($says), "{fault}");
        }
    )*};
}

faults! {
    unknown_field_is_named: "\"region\"" => "\"regoin\"", "regoin";
    empty_name_is_named: "\"r1\"" => "\"\"", "`node`";
    address_without_port_is_named: "127.0.0.1:7" => "127.0.0.1", "`store`";
    time_without_unit_is_named: "2000ms" => "2000", "`terms.drain`";
    grace_that_is_too_short_is_named: "\"6s\"" => "\"200ms\"", "`terms.stop_grace`";
}

macro_rules! durations {
    ($($name:ident: $text:literal => $ms:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(parse_duration($text), $ms.map(Duration::from_millis));
        }
    )*};
}

durations! {
    milliseconds: "1500ms" => Some(1_500);
    seconds: "3s" => Some(3_000);
    fractions_of_a_second: "2.5s" => Some(2_500);
    no_unit: "5" => None::<u64>;
    no_number: "ms" => None::<u64>;
    negative: "-1s" => None::<u64>;
}
