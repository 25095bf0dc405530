//! `anvilrack-model`: searches the ownership protocol and prints what it found.

use anvilrack_model::{
    DroppedRule, FaultKind, ModelOptions, SearchBounds, SearchReport, StateSearch,
    long_promise_terms, model_terms,
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
    let terms = if flags.long_promise {
        long_promise_terms()
    } else {
        model_terms()
    };
    let options = ModelOptions {
        terms,
        dropped: None,
        checks_fence: !flags.no_fence,
    };
    let bounds = SearchBounds {
        horizon: flags.horizon.unwrap_or(18),
        faults: flags.faults.unwrap_or(2),
        kinds,
        opening: Vec::new(),
        max_states: flags.max_states.unwrap_or(1_000_000),
        liveness: flags.liveness,
    };
    let report = StateSearch::new(options, bounds).run();
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
        let report = StateSearch::new(rule.options(), rule.bounds()).run();
        print_report(&name, &report, flags.mutant.is_some());
        found &= report.trace.is_some();
        if flags.kept {
            found &= !breaks_when_kept(rule);
        }
    }
    found
}

/// Searches the model with the rule in place within the same bounds; true where it found a trace.
fn breaks_when_kept(rule: DroppedRule) -> bool {
    let options = ModelOptions {
        dropped: rule.backing(),
        ..rule.options()
    };
    let report = StateSearch::new(options, rule.bounds()).run();
    print_report("  rule kept", &report, true);
    report.trace.is_some()
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
