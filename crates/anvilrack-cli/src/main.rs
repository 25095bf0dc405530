//! `anvilrack`: the command for operators.

use std::process::ExitCode;
use std::{fs, io};

use anvilrack_cli::report_text::{explanation_text, status_text};
use anvilrack_cli::request_trace::RequestTrace;
use anvilrack_cli::{config_apply, router_calls};
use anvilrack_settings::config_file::read_config;
use anvilrack_store::HttpStore;
use eyre::WrapErr;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;

use crate::command_flags::{Anvilrack, AnvilrackCmd, Apply, Explain, Status, Trace};

mod command_flags;

fn main() -> ExitCode {
    env_logger::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("anvilrack: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> eyre::Result<()> {
    match Anvilrack::from_env_or_exit().subcommand {
        AnvilrackCmd::Check(check) => {
            let document = read_config(&check.file)?;
            println!(
                "{}: {} services, no errors found",
                check.file.display(),
                document.services.len()
            );
        }
        AnvilrackCmd::Apply(flags) => apply(&flags)?,
        AnvilrackCmd::Show(show) => {
            let (record, _) = config_apply::read_config(&HttpStore::new(show.store))?;
            println!("{}", serde_json::to_string_pretty(&record)?);
        }
        AnvilrackCmd::Status(flags) => status(&flags)?,
        AnvilrackCmd::Explain(flags) => explain(&flags)?,
        AnvilrackCmd::Trace(flags) => trace(&flags)?,
        AnvilrackCmd::Drain(drain) => {
            router_calls::drain(drain.router)?;
            println!(
                "{} is draining: its shards move to other routers",
                drain.router
            );
        }
    }
    Ok(())
}

fn apply(flags: &Apply) -> eyre::Result<()> {
    let document = read_config(&flags.file)?;
    let revision = config_apply::apply(&HttpStore::new(flags.store), document, flags.from)?;
    println!("revision {revision} applied");
    Ok(())
}

fn status(flags: &Status) -> eyre::Result<()> {
    let status = router_calls::get(flags.router, "/_status")?;
    print(&status, flags.json, status_text);
    Ok(())
}

fn explain(flags: &Explain) -> eyre::Result<()> {
    let key = utf8_percent_encode(&flags.key, NON_ALPHANUMERIC);
    let path = format!("/_explain/{}/{key}", flags.service);
    let explanation = router_calls::get(flags.router, &path)?;
    print(&explanation, flags.json, explanation_text);
    Ok(())
}

fn trace(flags: &Trace) -> eyre::Result<()> {
    let mut log = String::new();
    for file in &flags.logs {
        log += &fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    }
    if flags.logs.is_empty() {
        log = io::read_to_string(io::stdin())?;
    }
    let trace = RequestTrace::new(&flags.request, log.lines());
    eyre::ensure!(
        !trace.is_empty(),
        "no log line refers to request {}",
        flags.request
    );
    print!("{}", trace.text());
    Ok(())
}

fn print(value: &Value, json: bool, text: impl Fn(&Value) -> String) {
    if json {
        println!("{value}");
    } else {
        print!("{}", text(value));
    }
}
