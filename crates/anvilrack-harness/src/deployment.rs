//! A test deployment: a store, several routers and their targets.

use std::cell::Cell;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use anvilrack_fakes::{StoreCounters, StoreFaults, TargetFaults};
use anvilrack_load::{
    LoadHistory, LoadOptions, LoadReport, check_history, fetch_runs, owner_conflicts,
};
use eyre::{WrapErr, bail, eyre};
use serde_json::{Value, json};

use crate::{ChildProcess, TcpRelay, free_port};

/// Maximum time for a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a change of the assignment after which no further moves are planned.
const SETTLED_TIME: Duration = Duration::from_secs(1);

/// Timeout of a call to the fake store, which responds within milliseconds on an idle machine.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of a deployment: its routers, targets and site document.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// The service of each router's target; one router is started for each element.
    pub services: Vec<String>,
    /// Number of requests that each target runs concurrently.
    pub slots: u32,
    /// Time that a target takes for each request.
    pub service_time: Duration,
    /// Whether targets check fencing tokens.
    pub checks_fence: bool,
    /// The operators' configuration, written to the store as revision 1.
    pub config: Value,
    /// Additional fields of each router's settings; they override the generated ones.
    pub settings: Value,
    /// Whether other routers connect to each router through a [`TcpRelay`].
    pub use_relays: bool,
}

impl DeploymentPlan {
    /// Creates a plan for `routers` routers of one service, which is divided by key into 48 shards.
    #[must_use]
    pub fn new(service: &str, routers: usize) -> Self {
        let rules = json!({
            "divided_by_key": true,
            "shards": 48,
            "slots": 12,
            "connections": 110,
            "checks_fence": true,
        });
        Self {
            services: vec![service.to_owned(); routers],
            slots: 12,
            service_time: Duration::from_millis(1),
            checks_fence: true,
            config: json!({ "site": site(), "services": { service: rules } }),
            settings: json!({ "limits": reduced_limits() }),
            use_relays: false,
        }
    }

    /// Puts a relay in front of each router's peer port.
    #[must_use]
    pub fn with_relays(mut self) -> Self {
        self.use_relays = true;
        self
    }
}

/// Returns limits with fewer threads than the defaults, since all routers share one machine.
fn reduced_limits() -> Value {
    json!({ "caller_workers": 48, "guard_workers": 40 })
}

fn site() -> Value {
    json!({ "regions": {
        "norte": ["norte-a", "norte-b"],
        "centro": ["centro-a", "centro-b"],
        "sul": ["sul-a", "sul-b"],
    } })
}

const DOMAINS: [(&str, &str); 6] = [
    ("norte", "norte-a"),
    ("centro", "centro-a"),
    ("sul", "sul-a"),
    ("norte", "norte-b"),
    ("centro", "centro-b"),
    ("sul", "sul-b"),
];

/// The running processes of a deployment; all are killed when this value is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The fake store.
    pub store: ChildProcess,
    /// The routers, in the order of the plan.
    pub routers: Vec<ChildProcess>,
    /// The targets; each belongs to the router with the same index.
    pub targets: Vec<ChildProcess>,
    /// The address at which each router accepts callers.
    pub caller_addresses: Vec<SocketAddr>,
    /// The address of each router's control port.
    pub control_addresses: Vec<SocketAddr>,
    /// The address at which each target listens.
    pub target_addresses: Vec<SocketAddr>,
    /// The address at which the store listens.
    pub store_address: SocketAddr,
    /// The relay in front of each router's peer port; empty if the plan has no relays.
    pub peer_relays: Vec<TcpRelay>,
    plan: DeploymentPlan,
    peers: Vec<SocketAddr>,
    advertised_peers: Vec<SocketAddr>,
    dir: PathBuf,
}

impl Deployment {
    /// Starts `routers` routers of one service with the default plan.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn new(service: &str, routers: usize) -> eyre::Result<Self> {
        Self::with_plan(DeploymentPlan::new(service, routers))
    }

    /// Starts the deployment that a plan describes.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn with_plan(plan: DeploymentPlan) -> eyre::Result<Self> {
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let store_address = address();
        let dir = std::env::temp_dir().join(format!(
            "anvilrack-{}-{}",
            std::process::id(),
            store_address.port()
        ));
        fs::create_dir_all(&dir)?;
        let store = start_store(store_address, &dir)?;
        let mut deployment = Self {
            store,
            routers: Vec::new(),
            targets: Vec::new(),
            caller_addresses: plan.services.iter().map(|_| address()).collect(),
            control_addresses: plan.services.iter().map(|_| address()).collect(),
            peers: plan.services.iter().map(|_| address()).collect(),
            advertised_peers: plan.services.iter().map(|_| address()).collect(),
            peer_relays: Vec::new(),
            target_addresses: plan.services.iter().map(|_| address()).collect(),
            store_address,
            plan,
            dir,
        };
        deployment.apply()?;
        deployment.start_relays()?;
        for index in 0..deployment.plan.services.len() {
            let router = deployment.start_router(index)?;
            let target = deployment.start_target(index)?;
            deployment.routers.push(router);
            deployment.targets.push(target);
        }
        Ok(deployment)
    }

    // --- processes ------------------------------------------------------------------------------

    /// Kills a router if it is running and starts it again under the same name.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_router(&mut self, index: usize) -> eyre::Result<()> {
        self.routers[index].kill();
        self.routers[index] = self.start_router(index)?;
        Ok(())
    }

    /// Kills a target if it is running and starts it again at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_target(&mut self, index: usize) -> eyre::Result<()> {
        self.targets[index].kill();
        self.targets[index] = self.start_target(index)?;
        Ok(())
    }

    /// Kills the store if it is running and starts an empty one at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_store(&mut self) -> eyre::Result<()> {
        self.store.kill();
        self.store = start_store(self.store_address, &self.dir)?;
        Ok(())
    }

    fn start_relays(&mut self) -> eyre::Result<()> {
        if !self.plan.use_relays {
            return Ok(());
        }
        for (advertised, peer) in self.advertised_peers.iter().zip(&self.peers) {
            self.peer_relays.push(TcpRelay::start(*advertised, *peer)?);
        }
        Ok(())
    }

    fn start_router(&self, index: usize) -> eyre::Result<ChildProcess> {
        let name = format!("router-{}", index + 1);
        let (region, domain) = DOMAINS[index % DOMAINS.len()];
        let mut settings = json!({
            "node": name,
            "address": "127.0.0.1",
            "caller_port": self.caller_addresses[index].port(),
            "peer_port": self.peers[index].port(),
            "control_port": self.control_addresses[index].port(),
            "region": region,
            "failure_domain": domain,
            "store": self.store_address,
        });
        if self.plan.use_relays {
            settings["announced_peer_port"] = json!(self.advertised_peers[index].port());
        }
        if let (Some(settings), Some(extra)) =
            (settings.as_object_mut(), self.plan.settings.as_object())
        {
            settings.extend(extra.clone());
        }
        let file = self.dir.join(format!("{name}.jsonc"));
        fs::write(&file, settings.to_string())?;
        let arguments = [file.display().to_string()];
        ChildProcess::start("anvilrack-router", &name, &arguments, &self.dir)
    }

    fn start_target(&self, index: usize) -> eyre::Result<ChildProcess> {
        let mut arguments: Vec<String> = [
            "--address",
            &self.target_addresses[index].to_string(),
            "--router",
            &self.control_addresses[index].to_string(),
            "--service",
            &self.plan.services[index],
            "--slots",
            &self.plan.slots.to_string(),
            "--service-us",
            &self.plan.service_time.as_micros().to_string(),
        ]
        .map(str::to_owned)
        .to_vec();
        if self.plan.checks_fence {
            arguments.push("--checks-fence".to_owned());
        }
        let name = format!("target-{}", index + 1);
        ChildProcess::start("anvilrack-fake-target", &name, &arguments, &self.dir)
    }

    /// Writes the plan's configuration to the store as revision 1.
    fn apply(&self) -> eyre::Result<()> {
        let record = json!({
            "revision": 1,
            "apply_id": "harness",
            "document": self.plan.config,
        });
        let url = format!("http://{}/v1/kv/anvilrack/config?cas=0", self.store_address);
        let applied = wait_until("the store", || {
            let put = attohttpc::put(&url).timeout(STORE_TIMEOUT);
            let put = put.text(record.to_string()).send();
            if put.is_ok_and(|response| response.is_success()) {
                return Ok(true);
            }
            // An earlier attempt may have written the record although its response was lost.
            let found = attohttpc::get(&url).timeout(STORE_TIMEOUT).send();
            Ok(found.is_ok_and(|response| response.is_success()))
        });
        applied.wrap_err_with(|| format!("log of the fake store: {:?}", self.store.log()))
    }

    /// Returns the lines in the logs of all routers that contain `text`, each after its router's number.
    #[must_use]
    pub fn logged_lines(&self, text: &str) -> Vec<String> {
        let logs = self.routers.iter().zip(1..);
        let lines = logs.flat_map(|(router, number)| {
            let log = router.log();
            let lines = log.lines().filter(|line| line.contains(text));
            lines
                .map(|line| format!("router-{number}: {line}"))
                .collect::<Vec<_>>()
        });
        lines.collect()
    }

    /// Returns the address at which a router accepts other routers, without a relay.
    #[must_use]
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.peers[index]
    }

    // --- state ----------------------------------------------------------------------------------

    /// Waits until each running router knows an owner for each shard and holds its share of the
    /// shards.
    ///
    /// # Errors
    ///
    /// Returns an error, with the current status of each running router, if that takes too long.
    pub fn await_ready(&mut self) -> eyre::Result<()> {
        let running: Vec<usize> = (0..self.routers.len())
            .filter(|index| self.routers[*index].is_running())
            .collect();
        let ready = wait_until("the deployment", || {
            Ok(running.iter().all(|index| {
                self.status(*index)
                    .is_ok_and(|status| is_balanced(&status, running.len()))
            }))
        });
        ready.wrap_err_with(|| {
            let statuses = running
                .iter()
                .map(|index| format!("{:?}", self.status(*index)));
            statuses.collect::<Vec<_>>().join("\n")
        })
    }

    /// Waits until the assignment of the first router's cell has not changed for a second and no
    /// shard is being moved to another owner.
    ///
    /// Between two rounds of planned moves no shard moves either, so one moment without moves is not
    /// enough.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub fn await_no_moving_shards(&self) -> eyre::Result<()> {
        let last_seen = Cell::new((0, Instant::now()));
        wait_until("a cell without moving shards", || {
            let coordinator = self.coordinator(0)?;
            let status = self.status(coordinator)?;
            let version = status["cells"][0]["version"].as_u64().unwrap_or(0);
            let (seen_version, since) = last_seen.get();
            if version != seen_version || status["moving_shards"] != 0 {
                last_seen.set((version, Instant::now()));
                return Ok(false);
            }
            Ok(since.elapsed() >= SETTLED_TIME)
        })
    }

    /// Returns a router's status.
    ///
    /// # Errors
    ///
    /// Returns an error if the router does not respond.
    pub fn status(&self, index: usize) -> eyre::Result<Value> {
        let url = format!("http://{}/_status", self.control_addresses[index]);
        let response = attohttpc::get(url).timeout(Duration::from_secs(2)).send()?;
        Ok(serde_json::from_str(&response.text()?)?)
    }

    /// Returns the index of the cell's coordinator according to router `index`.
    ///
    /// # Errors
    ///
    /// Returns an error if the router does not respond or does not know the coordinator.
    pub fn coordinator(&self, index: usize) -> eyre::Result<usize> {
        self.router_index_at(index, "/cells/0/coordinator")
    }

    /// Returns the index of the cell's first standby according to router `index`.
    ///
    /// # Errors
    ///
    /// Returns an error if the router does not respond or knows no standby.
    pub fn first_standby(&self, index: usize) -> eyre::Result<usize> {
        self.router_index_at(index, "/cells/0/standbys/0")
    }

    fn router_index_at(&self, index: usize, pointer: &str) -> eyre::Result<usize> {
        let status = self.status(index)?;
        let name = status.pointer(pointer).and_then(Value::as_str);
        let number = name.and_then(|name| name.rsplit('-').next()?.parse::<usize>().ok());
        let number = number.ok_or_else(|| eyre!("{pointer} is not in {status}"))?;
        Ok(number - 1)
    }

    /// Returns the service of the first router's target.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.plan.services[0]
    }

    /// Returns the addresses at which the running routers accept callers.
    pub fn running_caller_addresses(&mut self) -> Vec<SocketAddr> {
        let routers = self.routers.iter_mut().zip(&self.caller_addresses);
        routers
            .filter_map(|(router, caller)| router.is_running().then_some(*caller))
            .collect()
    }

    /// Returns the index of a router that is neither coordinator nor standby of the cell.
    ///
    /// # Errors
    ///
    /// Returns an error if the first router does not respond or every router has one of these roles.
    pub fn owner_without_role(&self) -> eyre::Result<usize> {
        let status = self.status(0)?;
        let cell = &status["cells"][0];
        let has_role = |index: usize| {
            let name = json!(format!("router-{}", index + 1));
            let standbys = cell["standbys"].as_array();
            cell["coordinator"] == name || standbys.is_some_and(|nodes| nodes.contains(&name))
        };
        let found = (0..self.routers.len())
            .rev()
            .find(|index| !has_role(*index));
        found.ok_or_else(|| eyre!("every router is a coordinator or a standby"))
    }

    // --- faults ---------------------------------------------------------------------------------

    /// Replaces the faults that the fake store injects; the default value switches all of them
    /// off.
    ///
    /// # Errors
    ///
    /// Returns an error if the store's process does not respond.
    pub fn set_store_faults(&self, faults: StoreFaults) -> eyre::Result<()> {
        post(
            self.store_address,
            "faults",
            &serde_json::to_string(&faults)?,
        )
    }

    /// Replaces the faults that a target injects; the default value switches all of them off.
    ///
    /// # Errors
    ///
    /// Returns an error if the target's process does not respond.
    pub fn set_target_faults(&self, index: usize, faults: &TargetFaults) -> eyre::Result<()> {
        post(
            self.target_addresses[index],
            "faults",
            &serde_json::to_string(faults)?,
        )
    }

    /// Saves a copy of the store's contents in the store's process.
    ///
    /// # Errors
    ///
    /// Returns an error if the store's process does not respond.
    pub fn save_store(&self) -> eyre::Result<()> {
        post(self.store_address, "save", "")
    }

    /// Restores the store's contents from the copy that [`Self::save_store`] saved.
    ///
    /// # Errors
    ///
    /// Returns an error if the store's process does not respond.
    pub fn restore_store(&self) -> eyre::Result<()> {
        post(self.store_address, "restore", "")
    }

    /// Tells a router to drain, that is, to hand over its shards.
    ///
    /// # Errors
    ///
    /// Returns an error if the router does not respond or refuses.
    pub fn drain(&self, index: usize) -> eyre::Result<()> {
        let url = format!("http://{}/_drain", self.control_addresses[index]);
        attohttpc::post(url).send()?.error_for_status()?;
        Ok(())
    }

    /// Returns the number of calls that the store has received so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the store's process does not respond.
    pub fn store_counters(&self) -> eyre::Result<StoreCounters> {
        let url = format!("http://{}/_control/counters", self.store_address);
        Ok(serde_json::from_str(&attohttpc::get(url).send()?.text()?)?)
    }

    // --- load -----------------------------------------------------------------------------------

    /// Returns default options for a load over all routers, to be run with
    /// [`anvilrack_load::run_load`].
    #[must_use]
    pub fn load(&self) -> LoadOptions {
        LoadOptions {
            routers: self.caller_addresses.clone(),
            service: self.plan.services[0].clone(),
            keys: 200,
            claim_share: 0.3,
            hot_share: 0.0,
            body_bytes: 50,
            workers: 12,
            duration: Duration::from_secs(3),
            rate: Some(300.0),
            timeout: Duration::from_secs(2),
            seed: 7,
        }
    }

    /// Checks a load's history against the runs that all targets recorded.
    ///
    /// # Errors
    ///
    /// Returns an error if a target does not respond.
    pub fn check_history(&self, history: &LoadHistory) -> eyre::Result<LoadReport> {
        Ok(check_history(history, &fetch_runs(&self.target_addresses)?))
    }

    /// Describes the runs which show that a key had two owners, one a line.
    ///
    /// # Errors
    ///
    /// Returns an error if the runs of a target cannot be fetched.
    pub fn describe_owner_conflicts(&self) -> eyre::Result<String> {
        let runs = fetch_runs(&self.target_addresses)?;
        let lines = owner_conflicts(&runs)
            .into_iter()
            .map(|conflict| format!("{conflict:?}\n"));
        Ok(lines.collect())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns whether a router's status shows that every shard has an owner and that the router holds
/// at least an equal share, or one shard less, under a valid lease.
fn is_balanced(status: &Value, routers: usize) -> bool {
    let cells = status["cells"].as_array().cloned().unwrap_or_default();
    let owned = cells.iter().all(|cell| cell["unowned"] == 0);
    let own_cell = cells
        .iter()
        .find(|cell| cell["service"] == status["service"]);
    let share = own_cell.map_or(0, |cell| {
        let shards = cell["shards"].as_u64().unwrap_or(0);
        shards / routers.max(1) as u64
    });
    let held = status["held_shards"].as_u64().unwrap_or(0);
    own_cell.is_some() && owned && held + 1 >= share && status["lease_left_ms"].as_u64() > Some(0)
}

/// Polls `done` until it returns true.
///
/// # Errors
///
/// Returns an error if `done` fails or [`READY_TIMEOUT`] passes.
fn wait_until(what: &str, done: impl Fn() -> eyre::Result<bool>) -> eyre::Result<()> {
    let until = Instant::now() + READY_TIMEOUT;
    while Instant::now() < until {
        if done()? {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    bail!("{what} did not become ready within {READY_TIMEOUT:?}")
}

fn start_store(address: SocketAddr, dir: &std::path::Path) -> eyre::Result<ChildProcess> {
    let arguments = ["--address".to_owned(), address.to_string()];
    ChildProcess::start("anvilrack-fake-store", "store", &arguments, dir)
}

fn post(address: SocketAddr, call: &str, body: &str) -> eyre::Result<()> {
    let url = format!("http://{address}/_control/{call}");
    attohttpc::post(url).text(body).send()?.error_for_status()?;
    Ok(())
}
