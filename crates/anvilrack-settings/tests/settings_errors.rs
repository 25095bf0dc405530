//! An error in a settings or configuration file names the line, the field and the allowed values.

use std::fs;

use anvilrack_settings::RouterSettings;
use anvilrack_settings::config_file::read_config;

const ROUTER: &str = r#"// a comment
{
  "node": "router-1",
  "address": "127.0.0.1",
  "caller_port": 1001,
  "peer_port": 1002,
  "control_port": 1003,
  "region": "norte",
  "failure_domain": "norte-a",
  "store": "127.0.0.1:1000",
  "limits": { "guard_workers": 8 }
}"#;

const CONFIG: &str = r#"{
  "site": { "regions": { "norte": ["norte-a"] } },
  "services": {
    "viewer": {
      "divided_by_key": true,
      "shards": 16,
      "slots": 4,
      "connections": 10,
      "regions": ["norte"]
    }
  }
}"#;

macro_rules! error_cases {
    ($($name:ident: $reader:ident, $from:literal => $to:literal, $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let message = $reader(stringify!($name), $from, $to);
                assert_eq!(message, $expected);
            }
        )*
    };
}

error_cases! {
    valid_settings_are_accepted: router_error, "" => "", "no error";
    valid_config_is_accepted: config_error, "" => "", "no error";
    port_out_of_range: router_error, "1002" => "70000",
        "6: field `peer_port`: invalid value: integer `70000`, expected u16";
    zero_port: router_error, "1002" => "0", "6: field `peer_port`: must be from 1 to 65535";
    duplicate_port: router_error, "1003" => "1001",
        "7: field `control_port`: must differ from the other ports";
    host_name_as_address: router_error, "\"127.0.0.1\"" => "\"localhost\"",
        "4: field `address`: invalid IP address syntax";
    unspecified_address: router_error, "\"127.0.0.1\"" => "\"0.0.0.0\"",
        "4: field `address`: must be the machine's own IP address";
    name_with_space: router_error, "router-1" => "router 1",
        "3: field `node`: must be 1 to 63 letters, digits, `-`, `_` or `.`";
    zero_limit: router_error, "\"guard_workers\": 8" => "\"guard_workers\": 0",
        "11: field `limits.guard_workers`: must be from 1 to 4096";
    memory_for_no_body: router_error, "\"guard_workers\": 8" => "\"memory_mb\": 128",
        "11: field `limits.memory_mb`: must be at least 211 for a record of `record_bytes` and a body of `body_bytes`";
    too_few_descriptors: router_error, "\"guard_workers\": 8" => "\"max_descriptors\": 20",
        "11: field `limits.max_descriptors`: must be at least 128";
    zero_shards: config_error, "\"shards\": 16" => "\"shards\": 0",
        "6: field `services.viewer.shards`: must be from 1 to 8192";
    unknown_region: config_error, "\"regions\": [\"norte\"]" => "\"regions\": [\"sul\"]",
        "9: field `services.viewer.regions`: region `sul` is not in site.regions";
    duplicate_failure_domain: config_error, "[\"norte-a\"]" => "[\"norte-a\", \"norte-a\"]",
        "2: field `site.regions.norte`: failure domain `norte-a` must be listed only once";
    invalid_json: config_error, "\"slots\": 4," => "\"slots\": ,",
        "7: invalid JSON with comments: Unexpected comma";
}

fn router_error(name: &str, from: &str, to: &str) -> String {
    read_error(name, &ROUTER.replacen(from, to, 1), |path| {
        RouterSettings::read(path)
            .map(drop)
            .map_err(|error| error.to_string())
    })
}

fn config_error(name: &str, from: &str, to: &str) -> String {
    read_error(name, &CONFIG.replacen(from, to, 1), |path| {
        read_config(path)
            .map(drop)
            .map_err(|error| error.to_string())
    })
}

/// Reads a file with the given text and returns the first line of the error, without the file name.
fn read_error(
    name: &str,
    text: &str,
    read: impl Fn(&std::path::Path) -> Result<(), String>,
) -> String {
    let path = std::env::temp_dir().join(format!("anvilrack-{}-{name}.jsonc", std::process::id()));
    fs::write(&path, text).unwrap();
    let outcome = read(&path);
    fs::remove_file(&path).unwrap();
    let Err(error_text) = outcome else {
        return "no error".to_owned();
    };
    let prefix = format!("{}:", path.display());
    let rest = error_text
        .strip_prefix(&prefix)
        .expect("the error starts with the file name");
    rest.lines().next().unwrap_or_default().to_owned()
}
