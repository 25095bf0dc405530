//! A store, some routers and their targets.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use anvilrack_fakes::{StoreCounters, StoreFaults, TargetFaults};
use anvilrack_load::{LoadHistory, LoadOptions, LoadReport, fetch_runs, judge};
use eyre::{WrapErr, bail, eyre};
use serde_json::{Value, json};

use crate::{ChildProcess, TcpRelay, free_port};

/// Longest time that a deployment may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time for the store's stand-in to answer, which takes milliseconds on a quiet machine.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// What to start.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// The service of each router's target; the length is the number of routers.
    pub services: Vec<String>,
    /// Slots of each target.
    pub slots: u32,
    /// Time each request takes at its target.
    pub service_time: Duration,
    /// Whether targets check fences.
    pub checks_fence: bool,
    /// The operators' configuration.
    pub config: Value,
    /// Fields put into each router's settings besides its places and ports.
    pub settings: Value,
    /// Whether other routers reach each router through a relay.
    pub relays: bool,
}

impl DeploymentPlan {
    /// Routers of one service, divided by key, with 48 shards.
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
            settings: json!({ "limits": small_limits() }),
            relays: false,
        }
    }

    /// Puts a relay in front of each router's port for peers.
    #[must_use]
    pub fn with_relays(mut self) -> Self {
        self.relays = true;
        self
    }
}

/// Fewer threads than a router has on a VM of its own, since many routers share this machine.
fn small_limits() -> Value {
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

/// Processes that belong together; all end when this value is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The stand-in store.
    pub store: ChildProcess,
    /// The routers.
    pub routers: Vec<ChildProcess>,
    /// The targets; each stands beside the router with the same index.
    pub targets: Vec<ChildProcess>,
    /// Where callers reach each router.
    pub callers: Vec<SocketAddr>,
    /// Each router's control port.
    pub controls: Vec<SocketAddr>,
    /// Where each target listens.
    pub target_addresses: Vec<SocketAddr>,
    /// Where the store listens.
    pub store_address: SocketAddr,
    /// The relay in front of each router's port for peers, where the plan asks for them.
    pub relays: Vec<TcpRelay>,
    plan: DeploymentPlan,
    peers: Vec<SocketAddr>,
    announced_peers: Vec<SocketAddr>,
    dir: PathBuf,
}

impl Deployment {
    /// Starts routers of one service and applies a configuration for it.
    ///
    /// # Errors
    ///
    /// Where a process cannot be started.
    pub fn new(service: &str, routers: usize) -> eyre::Result<Self> {
        Self::with_plan(DeploymentPlan::new(service, routers))
    }

    /// Starts what the plan says.
    ///
    /// # Errors
    ///
    /// Where a process cannot be started.
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
            callers: plan.services.iter().map(|_| address()).collect(),
            controls: plan.services.iter().map(|_| address()).collect(),
            peers: plan.services.iter().map(|_| address()).collect(),
            announced_peers: plan.services.iter().map(|_| address()).collect(),
            relays: Vec::new(),
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

    /// Starts a router that was killed, as a new run under its old name.
    ///
    /// # Errors
    ///
    /// Where the process cannot be started.
    pub fn restart_router(&mut self, index: usize) -> eyre::Result<()> {
        self.routers[index].kill();
        self.routers[index] = self.start_router(index)?;
        Ok(())
    }

    /// Starts a target that was killed or that crashed.
    ///
    /// # Errors
    ///
    /// Where the process cannot be started.
    pub fn restart_target(&mut self, index: usize) -> eyre::Result<()> {
        self.targets[index].kill();
        self.targets[index] = self.start_target(index)?;
        Ok(())
    }

    /// Starts the store again, empty, after it was killed.
    ///
    /// # Errors
    ///
    /// Where the process cannot be started.
    pub fn restart_store(&mut self) -> eyre::Result<()> {
        self.store.kill();
        self.store = start_store(self.store_address, &self.dir)?;
        Ok(())
    }

    fn start_relays(&mut self) -> eyre::Result<()> {
        if !self.plan.relays {
            return Ok(());
        }
        for (announced, peer) in self.announced_peers.iter().zip(&self.peers) {
            self.relays.push(TcpRelay::start(*announced, *peer)?);
        }
        Ok(())
    }

    fn start_router(&self, index: usize) -> eyre::Result<ChildProcess> {
        let name = format!("router-{}", index + 1);
        let (region, domain) = DOMAINS[index % DOMAINS.len()];
        let mut settings = json!({
            "node": name,
            "address": "127.0.0.1",
            "caller_port": self.callers[index].port(),
            "peer_port": self.peers[index].port(),
            "control_port": self.controls[index].port(),
            "region": region,
            "failure_domain": domain,
            "store": self.store_address,
        });
        if self.plan.relays {
            settings["announced_peer_port"] = json!(self.announced_peers[index].port());
        }
        if let (Some(settings), Some(more)) =
            (settings.as_object_mut(), self.plan.settings.as_object())
        {
            settings.extend(more.clone());
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
            &self.controls[index].to_string(),
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

    /// Puts the plan's configuration into the store as revision one.
    fn apply(&self) -> eyre::Result<()> {
        let record = json!({
            "revision": 1,
            "apply_id": "harness",
            "document": self.plan.config,
        });
        let url = format!("http://{}/v1/kv/anvilrack/config?cas=0", self.store_address);
        let applied = await_true("the store", || {
            let put = attohttpc::put(&url).timeout(STORE_TIMEOUT);
            let put = put.text(record.to_string()).send();
            if put.is_ok_and(|answer| answer.is_success()) {
                return Ok(true);
            }
            // A try whose answer was lost may have been the one that wrote it.
            let found = attohttpc::get(&url).timeout(STORE_TIMEOUT).send();
            Ok(found.is_ok_and(|answer| answer.is_success()))
        });
        applied.wrap_err_with(|| format!("the store's log: {:?}", self.store.log()))
    }

    /// Where other routers reach a router.
    #[must_use]
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.peers[index]
    }

    // --- looking --------------------------------------------------------------------------------

    /// Waits until each router that runs knows an owner for each shard, and each router with a
    /// target holds its share.
    ///
    /// # Errors
    ///
    /// Where that takes too long; with the last status of each router.
    pub fn await_ready(&mut self) -> eyre::Result<()> {
        let running: Vec<usize> = (0..self.routers.len())
            .filter(|index| self.routers[*index].is_running())
            .collect();
        let ready = await_true("the deployment", || {
            Ok(running.iter().all(|index| {
                self.status(*index)
                    .is_ok_and(|status| is_settled(&status, running.len()))
            }))
        });
        ready.wrap_err_with(|| {
            let statuses = running
                .iter()
                .map(|index| format!("{:?}", self.status(*index)));
            statuses.collect::<Vec<_>>().join("\n")
        })
    }

    /// Waits until no shard of the first router's cell is on its way to another owner.
    ///
    /// # Errors
    ///
    /// Where that takes too long.
    pub fn await_still(&self) -> eyre::Result<()> {
        await_true("a cell without moves", || {
            let coordinator = self.coordinator(0)?;
            Ok(self.status(coordinator)?["moving_shards"] == 0)
        })
    }

    /// A router's status.
    ///
    /// # Errors
    ///
    /// Where it does not answer.
    pub fn status(&self, index: usize) -> eyre::Result<Value> {
        let url = format!("http://{}/_status", self.controls[index]);
        let answer = attohttpc::get(url).timeout(Duration::from_secs(2)).send()?;
        Ok(serde_json::from_str(&answer.text()?)?)
    }

    /// The index of the router that coordinates the cell, as router `index` knows it.
    ///
    /// # Errors
    ///
    /// Where it is not known.
    pub fn coordinator(&self, index: usize) -> eyre::Result<usize> {
        self.named_index(index, "/cells/0/coordinator")
    }

    /// The index of the first standby, as router `index` knows it.
    ///
    /// # Errors
    ///
    /// Where there is none.
    pub fn first_standby(&self, index: usize) -> eyre::Result<usize> {
        self.named_index(index, "/cells/0/standbys/0")
    }

    fn named_index(&self, index: usize, pointer: &str) -> eyre::Result<usize> {
        let status = self.status(index)?;
        let name = status.pointer(pointer).and_then(Value::as_str);
        let number = name.and_then(|name| name.rsplit('-').next()?.parse::<usize>().ok());
        let number = number.ok_or_else(|| eyre!("{pointer} is not in {status}"))?;
        Ok(number - 1)
    }

    /// The service of the first router's target.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.plan.services[0]
    }

    /// Where callers reach the routers that run.
    pub fn running_callers(&mut self) -> Vec<SocketAddr> {
        let routers = self.routers.iter_mut().zip(&self.callers);
        routers
            .filter_map(|(router, caller)| router.is_running().then_some(*caller))
            .collect()
    }

    /// The index of a router that neither coordinates the cell nor is a standby.
    ///
    /// # Errors
    ///
    /// Where router zero does not know the cell.
    pub fn plain_owner(&self) -> eyre::Result<usize> {
        let status = self.status(0)?;
        let cell = &status["cells"][0];
        let named = |index: usize| {
            let name = json!(format!("router-{}", index + 1));
            let standbys = cell["standbys"].as_array();
            cell["coordinator"] == name || standbys.is_some_and(|nodes| nodes.contains(&name))
        };
        let found = (0..self.routers.len()).rev().find(|index| !named(*index));
        found.ok_or_else(|| eyre!("every router has an office"))
    }

    // --- faults ---------------------------------------------------------------------------------

    /// Switches faults of the store on or off.
    ///
    /// # Errors
    ///
    /// Where the store's process does not answer.
    pub fn set_store_faults(&self, faults: StoreFaults) -> eyre::Result<()> {
        post(
            self.store_address,
            "faults",
            &serde_json::to_string(&faults)?,
        )
    }

    /// Switches faults of a target on or off.
    ///
    /// # Errors
    ///
    /// Where the target's process does not answer.
    pub fn set_target_faults(&self, index: usize, faults: &TargetFaults) -> eyre::Result<()> {
        post(
            self.target_addresses[index],
            "faults",
            &serde_json::to_string(faults)?,
        )
    }

    /// Keeps a copy of what the store holds.
    ///
    /// # Errors
    ///
    /// Where the store's process does not answer.
    pub fn save_store(&self) -> eyre::Result<()> {
        post(self.store_address, "save", "")
    }

    /// Puts the store back to the copy that was kept.
    ///
    /// # Errors
    ///
    /// Where the store's process does not answer.
    pub fn restore_store(&self) -> eyre::Result<()> {
        post(self.store_address, "restore", "")
    }

    /// Asks a router to drain.
    ///
    /// # Errors
    ///
    /// Where it does not answer.
    pub fn drain(&self, index: usize) -> eyre::Result<()> {
        let url = format!("http://{}/_drain", self.controls[index]);
        attohttpc::post(url).send()?.error_for_status()?;
        Ok(())
    }

    /// Calls to the store so far.
    ///
    /// # Errors
    ///
    /// Where the store's process does not answer.
    pub fn store_counters(&self) -> eyre::Result<StoreCounters> {
        let url = format!("http://{}/_control/counters", self.store_address);
        Ok(serde_json::from_str(&attohttpc::get(url).send()?.text()?)?)
    }

    // --- load -----------------------------------------------------------------------------------

    /// A load over all routers, to change and run with [`anvilrack_load::run_load`].
    #[must_use]
    pub fn load(&self) -> LoadOptions {
        LoadOptions {
            routers: self.callers.clone(),
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

    /// Judges a load by the runs of all targets.
    ///
    /// # Errors
    ///
    /// Where a target does not answer.
    pub fn judge(&self, history: &LoadHistory) -> eyre::Result<LoadReport> {
        Ok(judge(history, &fetch_runs(&self.target_addresses)?))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// True where a status shows every shard owned and evenly spread.
fn is_settled(status: &Value, routers: usize) -> bool {
    let cells = status["cells"].as_array().cloned().unwrap_or_default();
    let owned = cells.iter().all(|cell| cell["unowned"] == 0);
    let own = cells
        .iter()
        .find(|cell| cell["service"] == status["service"]);
    let share = own.map_or(0, |cell| {
        let shards = cell["shards"].as_u64().unwrap_or(0);
        shards / routers.max(1) as u64
    });
    let held = status["held_shards"].as_u64().unwrap_or(0);
    own.is_some() && owned && held + 1 >= share && status["lease_left_ms"].as_u64() > Some(0)
}

/// Waits until `done` says so.
///
/// # Errors
///
/// Where that takes too long.
fn await_true(what: &str, done: impl Fn() -> eyre::Result<bool>) -> eyre::Result<()> {
    let until = Instant::now() + READY_LIMIT;
    while Instant::now() < until {
        if done()? {
            return Ok(());
        }
        thread::sleep(LOOK_EVERY);
    }
    bail!("{what} did not become ready in {READY_LIMIT:?}")
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
