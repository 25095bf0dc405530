//! Status report of a router for operators.

use anvilrack_core::CellRecord;
use serde::Serialize;
use serde_json::{Value, json};

use crate::boot_clock;
use crate::router_context::RouterContext;

/// A problem or an operation in progress that an operator should know of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StatusFinding {
    /// What is affected and what the problem is.
    pub what: String,
    /// What the system does about it automatically.
    pub being_done: &'static str,
    /// What the operator has to do, and when; empty if nothing has to be done.
    pub for_a_person: &'static str,
}

/// Returns the state of this router and of all cells that it knows, with the findings.
#[must_use]
pub fn status_report(context: &RouterContext) -> Value {
    let now = boot_clock::now();
    let routes = context.routes();
    let cells: Vec<Value> = routes.cells().map(|cell| cell_report(cell)).collect();
    let lease_until = context.owner().lease_until();
    let held_shards = context.owner().held().count();
    let lease_remaining = lease_until.saturating_sub(now);
    json!({
        "node": context.node(),
        "incarnation": context.incarnation,
        "region": context.settings.region,
        "failure_domain": context.settings.failure_domain,
        "service": context.service(),
        "target_sick": context.admission.is_unhealthy(),
        "hottest_keys": hottest_keys(context),
        "target_ready": context.target().is_ready(now),
        "leaving": context.is_leaving(),
        "lease_left_ms": u64::try_from(lease_remaining.as_millis()).unwrap_or(u64::MAX),
        "held_shards": held_shards,
        "in_flight": context.releases.in_flight(),
        "coordinates": context.coordinator().is_some(),
        "moving_shards": context.coordinator().as_ref().map(|state| state.moves().len()),
        "config_revision": routes.config().revision,
        "cells": cells,
        "findings": findings(context),
    })
}

/// Returns the hottest keys of this router with the minimum number of their requests.
fn hottest_keys(context: &RouterContext) -> Vec<Value> {
    let keys = context.meter.hottest_keys().into_iter();
    keys.map(|(key, counted)| json!({ "key": key, "requests": counted.count - counted.error }))
        .collect()
}

fn cell_report(cell: &CellRecord) -> Value {
    json!({
        "service": cell.service,
        "epoch": cell.epoch,
        "version": cell.version,
        "coordinator": cell.coordinator,
        "standbys": cell.standbys,
        "members": cell.members.len(),
        "shards": cell.shards.len(),
        "unowned": cell.unowned(),
    })
}

fn findings(context: &RouterContext) -> Vec<StatusFinding> {
    let mut findings = own_findings(context);
    let routes = context.routes();
    if routes.config().revision == 0 {
        findings.push(StatusFinding {
            what: "no configuration is known".to_owned(),
            being_done: "this router checks for one every second",
            for_a_person: "apply one with `anvilrack apply`",
        });
    }
    for service in routes.config().document.services.keys() {
        match routes.cell(service) {
            Some(cell) => findings.extend(cell_findings(cell)),
            None => findings.push(StatusFinding {
                what: format!("service {service}: no target has announced itself yet"),
                being_done: "its cell is created when the first target announces itself",
                for_a_person: "start a target if the service should run",
            }),
        }
    }
    findings
}

fn own_findings(context: &RouterContext) -> Vec<StatusFinding> {
    let now = boot_clock::now();
    let mut findings = Vec::new();
    let target_ready = context.target().is_ready(now);
    if context.service().is_some() && !target_ready {
        findings.push(StatusFinding {
            what: format!("{}: its target is not ready", context.node()),
            being_done: "its shards move to other members",
            for_a_person: "check the target on the next working day",
        });
    }
    if target_ready && context.owner().lease_until() <= now {
        findings.push(StatusFinding {
            what: format!("{}: its lease has expired", context.node()),
            being_done: "it refuses requests as not run and tries to reach its coordinator",
            for_a_person: "if this lasts, check the network to its cell on the next working day",
        });
    }
    if context.is_leaving() {
        findings.push(StatusFinding {
            what: format!("{} is leaving", context.node()),
            being_done: "its shards move to other members one by one",
            for_a_person: "",
        });
    }
    findings
}

fn cell_findings(cell: &CellRecord) -> Vec<StatusFinding> {
    let mut findings = Vec::new();
    let service = &cell.service;
    if cell.unowned() > 0 {
        findings.push(StatusFinding {
            what: format!("service {service}: {} shards have no owner", cell.unowned()),
            being_done: "they are assigned as soon as a member is ready",
            for_a_person: "if no member is ready, start targets",
        });
    }
    if cell.standbys.len() < 2 {
        findings.push(StatusFinding {
            what: format!("service {service}: {} of 2 standbys", cell.standbys.len()),
            being_done: "members that join become standbys",
            for_a_person: "add a target on the next working day to keep the cell fault-tolerant",
        });
    }
    findings
}
