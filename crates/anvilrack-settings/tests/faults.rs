//! A fault in a file is told with its line, its field and what is allowed.

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

macro_rules! fault_cases {
    ($($name:ident: $reader:ident, $from:literal => $to:literal, $told:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let told = $reader(stringify!($name), $from, $to);
                assert_eq!(told, $told);
            }
        )*
    };
}

fault_cases! {
    sound_settings_are_taken: router_fault, "" => "", "no fault";
    sound_config_is_taken: config_fault, "" => "", "no fault";
    port_out_of_range: router_fault, "1002" => "70000",
        "6: field `peer_port`: invalid value: integer `70000`, expected u16";
    port_zero: router_fault, "1002" => "0", "6: field `peer_port`: must be from 1 to 65535";
    port_taken_twice: router_fault, "1003" => "1001",
        "7: field `control_port`: must differ from the other ports";
    address_by_name: router_fault, "\"127.0.0.1\"" => "\"localhost\"",
        "4: field `address`: invalid IP address syntax";
    address_unspecified: router_fault, "\"127.0.0.1\"" => "\"0.0.0.0\"",
        "4: field `address`: must be the machine's own IP address";
    name_with_a_blank: router_fault, "router-1" => "router 1",
        "3: field `node`: must be 1 to 63 letters, digits, `-`, `_` or `.`";
    limit_of_zero: router_fault, "\"guard_workers\": 8" => "\"guard_workers\": 0",
        "11: field `limits.guard_workers`: must be from 1 to 4096";
    shards_of_zero: config_fault, "\"shards\": 16" => "\"shards\": 0",
        "6: field `services.viewer.shards`: must be from 1 to 8192";
    region_unknown: config_fault, "\"regions\": [\"norte\"]" => "\"regions\": [\"sul\"]",
        "9: field `services.viewer.regions`: region `sul` is not in site.regions";
    domain_named_twice: config_fault, "[\"norte-a\"]" => "[\"norte-a\", \"norte-a\"]",
        "2: field `site.regions.norte`: failure domain `norte-a` must be named once only";
    not_json: config_fault, "\"slots\": 4," => "\"slots\": ,",
        "7: not JSON with comments: Unexpected comma";
}

fn router_fault(name: &str, from: &str, to: &str) -> String {
    told(name, &ROUTER.replacen(from, to, 1), |path| {
        RouterSettings::read(path)
            .map(drop)
            .map_err(|error| error.to_string())
    })
}

fn config_fault(name: &str, from: &str, to: &str) -> String {
    told(name, &CONFIG.replacen(from, to, 1), |path| {
        read_config(path)
            .map(drop)
            .map_err(|error| error.to_string())
    })
}

/// What is told of a file, without the file's name in front.
fn told(name: &str, text: &str, read: impl Fn(&std::path::Path) -> Result<(), String>) -> String {
    let path = std::env::temp_dir().join(format!("anvilrack-{}-{name}.jsonc", std::process::id()));
    fs::write(&path, text).unwrap();
    let outcome = read(&path);
    fs::remove_file(&path).unwrap();
    let Err(fault) = outcome else {
        return "no fault".to_owned();
    };
    let prefix = format!("{}:", path.display());
    let rest = fault
        .strip_prefix(&prefix)
        .expect("the file's name stands first");
    rest.lines().next().unwrap_or_default().to_owned()
}
