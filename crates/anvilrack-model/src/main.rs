//! `anvilrack-model`: explores the ownership protocol and prints the traces that violate a property.

use anvilrack_model::{
    DroppedRule, FaultKind, ModelOptions, SearchBounds, SearchReport, StateSearch,
    long_promise_terms, model_terms,
};

mod model_flags;

use crate::model_flags::AnvilrackModel;

fn main() {
    let flags = AnvilrackModel::from_env_or_exit();
    let all_rules = flags.mutant.is_none() && !flags.mutants;
    let found = if all_rules {
        search_all_rules(&flags)
    } else {
        search_mutants(&flags)
    };
    // The model with all rules must have no trace, and each mutant must have one.
    if found == all_rules {
        std::process::exit(1);
    }
}

/// Searches the model with all rules and returns whether it found a trace.
fn search_all_rules(flags: &AnvilrackModel) -> bool {
    let is_selected = |kind: &FaultKind| {
        let name = format!("{kind:?}");
        flags.kind.is_empty() || flags.kind.contains(&name)
    };
    let kinds: Vec<_> = FaultKind::ALL.into_iter().filter(is_selected).collect();
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
        initial_steps: Vec::new(),
        max_states: flags.max_states.unwrap_or(1_000_000),
        liveness: flags.liveness,
    };
    let report = StateSearch::new(options, bounds).run();
    print_report("sound", &report, true);
    report.trace.is_some()
}

/// Searches the mutants and returns whether it found a trace for each of them.
fn search_mutants(flags: &AnvilrackModel) -> bool {
    let mut all_found = true;
    for rule in DroppedRule::ALL {
        let name = format!("{rule:?}");
        if flags.mutant.as_ref().is_some_and(|wanted| *wanted != name) {
            continue;
        }
        let report = StateSearch::new(rule.options(), rule.bounds()).run();
        print_report(&name, &report, flags.mutant.is_some());
        all_found &= report.trace.is_some();
        if flags.kept {
            all_found &= !has_trace_with_rule(rule);
        }
    }
    all_found
}

/// Searches the model that keeps `rule`, within the bounds of its mutant, and returns whether it found
/// a trace.
fn has_trace_with_rule(rule: DroppedRule) -> bool {
    let options = ModelOptions {
        dropped: rule.backup_rule(),
        ..rule.options()
    };
    let report = StateSearch::new(options, rule.bounds()).run();
    print_report("  rule kept", &report, true);
    report.trace.is_some()
}

fn print_report(name: &str, report: &SearchReport, print_trace: bool) {
    let states = report.states;
    let depth = report.depth;
    let time = report.time.as_secs_f64();
    let suffix = if report.cut_short {
        ", stopped at the state limit"
    } else {
        ""
    };
    print!("{name}: {states} states, depth {depth}, {time:.1} s{suffix}");
    match &report.trace {
        Some(trace) => println!(
            ", trace of {} steps: {:?}",
            trace.actions.len(),
            trace.violation
        ),
        None => println!(", no trace"),
    }
    if let Some(trace) = report.trace.as_ref().filter(|_| print_trace) {
        println!("{trace}");
    }
}
