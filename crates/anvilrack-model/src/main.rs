//! `anvilrack-model`: searches the ownership protocol and prints what it found.

use anvilrack_model::{
    DroppedRule, FaultKind, ModelOptions, SearchBounds, SearchReport, StateSearch,
};

mod model_flags;

use crate::model_flags::AnvilrackModel;

fn main() {
    let flags = AnvilrackModel::from_env_or_exit();
    let sound = flags.mutant.is_none() && !flags.mutants;
    let found = if sound {
        search_sound(&flags)
    } else {
        search_mutants(&flags)
    };
    // The sound model has no trace, and each mutant has one.
    if found == sound {
        std::process::exit(1);
    }
}

/// Searches the sound model; true where it found a trace.
fn search_sound(flags: &AnvilrackModel) -> bool {
    let named = |kind: &FaultKind| {
        let name = format!("{kind:?}");
        flags.kind.is_empty() || flags.kind.contains(&name)
    };
    let kinds: Vec<_> = FaultKind::ALL.into_iter().filter(named).collect();
    let options = ModelOptions {
        dropped: None,
        checks_fence: flags.checks_fence,
    };
    let report = search(flags, options, kinds);
    print_report("sound", &report, true);
    report.trace.is_some()
}

/// Searches the mutants; true where it found a trace for each.
fn search_mutants(flags: &AnvilrackModel) -> bool {
    let mut found = true;
    for rule in DroppedRule::ALL {
        let name = format!("{rule:?}");
        if flags.mutant.as_ref().is_some_and(|wanted| *wanted != name) {
            continue;
        }
        let options = ModelOptions {
            dropped: Some(rule),
            checks_fence: flags.checks_fence,
        };
        let report = search(flags, options, rule.faults().to_vec());
        print_report(&name, &report, flags.mutant.is_some());
        found &= report.trace.is_some();
    }
    found
}

fn search(flags: &AnvilrackModel, options: ModelOptions, kinds: Vec<FaultKind>) -> SearchReport {
    let bounds = SearchBounds {
        horizon: flags.horizon.unwrap_or(16),
        faults: flags.faults.unwrap_or(2),
        kinds,
        max_states: flags.max_states.unwrap_or(2_000_000),
        liveness: flags.liveness,
    };
    StateSearch::new(options, bounds).run()
}

fn print_report(name: &str, report: &SearchReport, in_full: bool) {
    let states = report.states;
    let depth = report.depth;
    let time = report.time.as_secs_f64();
    let end = if report.cut_short { ", cut short" } else { "" };
    print!("{name}: {states} states, depth {depth}, {time:.1} s{end}");
    match &report.trace {
        Some(trace) => println!(
            ", trace of {} steps: {:?}",
            trace.actions.len(),
            trace.broken
        ),
        None => println!(", no trace"),
    }
    if let Some(trace) = report.trace.as_ref().filter(|_| in_full) {
        println!("{trace}");
    }
}
