//! Validation of the settings; errors name the field.

use std::path::PathBuf;
use std::time::Duration;

use anvilrack_node::{NodeSettings, parse_duration};

const VALID: &str = r#"{
  // the format that the platform writes
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
    std::fs::write(&file, text).expect("the temporary file can be written");
    let settings = NodeSettings::read(&file).map_err(|error| error.to_string());
    std::fs::remove_file(&file).expect("the temporary file exists");
    settings
}

#[test]
fn valid_settings_are_read() {
    let settings = read("good", VALID).expect("the settings are valid");
    assert_eq!(settings.terms.drain, Duration::from_secs(2));
    assert_eq!(settings.terms.longest_hold, Duration::from_secs(10));
    assert_eq!(settings.terms.retries, None);
    assert_eq!(settings.terms.evacuate_within, None);
}

// Guards against optional limits that the platform sets and the router ignores.
#[test]
fn optional_limits_are_read() {
    let text = VALID.replace(
        r#""stop_grace""#,
        r#""evacuate_within": "5000ms", "retries": { "ratio": 0.2, "slack": 164, "window": "10s" }, "stop_grace""#,
    );
    let terms = read("limits", &text).expect("the settings are valid").terms;
    assert_eq!(terms.evacuate_within, Some(Duration::from_secs(5)));
    let retries = terms.retries.expect("a limit on retries");
    assert_eq!(retries.slack, 164);
    assert_eq!(retries.window, Duration::from_secs(10));
}

#[test]
fn router_behind_a_relay_uses_its_advertised_address() {
    let direct = read("direct", VALID).expect("the settings are valid");
    assert_eq!(direct.peer_address(), direct.listen.peers);
    let relayed = VALID.replace(
        "\"store\"",
        "\"advertised_peers\": \"127.0.0.1:9\", \"store\"",
    );
    let relayed = read("relayed", &relayed).expect("the settings are valid");
    assert_eq!(relayed.peer_address().port(), 9);
}

macro_rules! invalid_settings {
    ($($name:ident: $from:literal => $to:literal, $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            let error = read(stringify!($name), &VALID.replace($from, $to))
                .expect_err("the settings are invalid");
            assert!(error.contains($expected), "{error}");
        }
    )*};
}

invalid_settings! {
    unknown_field_is_reported: "\"region\"" => "\"regoin\"", "regoin";
    negative_retry_ratio_is_reported: "\"stop_grace\"" => "\"retries\": { \"ratio\": -1, \"slack\": 1, \"window\": \"1s\" }, \"stop_grace\"", "`terms.retries.ratio`";
    empty_name_is_reported: "\"r1\"" => "\"\"", "`node`";
    address_without_port_is_reported: "127.0.0.1:7" => "127.0.0.1", "`store`";
    time_without_unit_is_reported: "2000ms" => "2000", "`terms.drain`";
    too_little_memory_is_reported: "\"store\"" => "\"memory_mb\": 20, \"store\"", "`memory_mb`";
    too_few_descriptors_are_reported: "\"store\"" => "\"max_descriptors\": 10, \"store\"", "`max_descriptors`";
    too_short_grace_is_reported: "\"6s\"" => "\"200ms\"", "`terms.stop_grace`";
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
    missing_unit_is_rejected: "5" => None::<u64>;
    missing_number_is_rejected: "ms" => None::<u64>;
    negative_is_rejected: "-1s" => None::<u64>;
}
