//! What a router knows and what is wrong, for operators.

use anvilrack_core::CellRecord;
use serde::Serialize;
use serde_json::{Value, json};

use crate::boot_clock;
use crate::router_context::RouterContext;

/// Something that is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StatusFinding {
    /// Who or what is unwell.
    pub what: String,
    /// What the system does about it by itself.
    pub being_done: &'static str,
    /// What a person has to do, and when; empty where nothing has to be done.
    pub for_a_person: &'static str,
}

/// This router's view of itself and of all cells.
#[must_use]
pub fn status_report(context: &RouterContext) -> Value {
    let now = boot_clock::now();
    let routes = context.routes();
    let cells: Vec<Value> = routes.cells().map(|cell| cell_report(cell)).collect();
    let lease_until = context.owner().lease_until();
    let held = context.owner().held().count();
    let lease_left = lease_until.saturating_sub(now);
    json!({
        "node": context.node(),
        "incarnation": context.incarnation,
        "region": context.settings.region,
        "failure_domain": context.settings.failure_domain,
        "service": context.service(),
        "target_sick": context.admission.is_sick(),
        "hottest_keys": hottest_keys(context),
        "target_ready": context.target().is_ready(now),
        "leaving": context.is_leaving(),
        "lease_left_ms": u64::try_from(lease_left.as_millis()).unwrap_or(u64::MAX),
        "held_shards": held,
        "in_flight": context.releases.in_flight(),
        "coordinates": context.coordinator().is_some(),
        "moving_shards": context.coordinator().as_ref().map(|state| state.moves().len()),
        "config_revision": routes.config().revision,
        "cells": cells,
        "findings": findings(context),
    })
}

/// Keys of this router's target that bring most requests, with how many.
fn hottest_keys(context: &RouterContext) -> Vec<Value> {
    let keys = context.meter.hottest_keys().into_iter();
    keys.map(|(key, known)| json!({ "key": key, "requests": known.count - known.error }))
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
    let mut found = own_findings(context);
    let routes = context.routes();
    if routes.config().revision == 0 {
        found.push(StatusFinding {
            what: "no configuration is known".to_owned(),
            being_done: "this router looks for one every second",
            for_a_person: "apply one with `anvilrack apply`",
        });
    }
    for service in routes.config().document.services.keys() {
        match routes.cell(service) {
            Some(cell) => found.extend(cell_findings(cell)),
            None => found.push(StatusFinding {
                what: format!("service {service}: no target has announced itself yet"),
                being_done: "its cell is created when the first one does",
                for_a_person: "start a target, if the service should run",
            }),
        }
    }
    found
}

fn own_findings(context: &RouterContext) -> Vec<StatusFinding> {
    let now = boot_clock::now();
    let mut found = Vec::new();
    let target_ready = context.target().is_ready(now);
    if context.service().is_some() && !target_ready {
        found.push(StatusFinding {
            what: format!("{}: its target is not ready", context.node()),
            being_done: "its shards move to other members",
            for_a_person: "look at the target on the next working day",
        });
    }
    if target_ready && context.owner().lease_until() <= now {
        found.push(StatusFinding {
            what: format!("{}: its lease has lapsed", context.node()),
            being_done: "it refuses requests as not run and looks for its coordinator",
            for_a_person: "if this lasts, check the network to its cell on the next working day",
        });
    }
    if context.is_leaving() {
        found.push(StatusFinding {
            what: format!("{} is leaving", context.node()),
            being_done: "its shards move to other members one by one",
            for_a_person: "",
        });
    }
    found
}

fn cell_findings(cell: &CellRecord) -> Vec<StatusFinding> {
    let mut found = Vec::new();
    let service = &cell.service;
    if cell.unowned() > 0 {
        found.push(StatusFinding {
            what: format!("service {service}: {} shards have no owner", cell.unowned()),
            being_done: "they are given away as soon as a member is ready",
            for_a_person: "if no member is ready, start targets",
        });
    }
    if cell.standbys.len() < 2 {
        found.push(StatusFinding {
            what: format!("service {service}: {} of 2 standbys", cell.standbys.len()),
            being_done: "members that join become standbys",
            for_a_person: "add a target on the next working day, so that losses stay covered",
        });
    }
    found
}
