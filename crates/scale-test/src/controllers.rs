//! Real controllers, each in its own process.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use serde_json::{Value, json};

use crate::{
    config::Config,
    procfs::{self, ProcessSample},
};

/// Idle time before a machine is released, in boot times; keeps the fleet at its configured size.
const IDLE_BOOTS: &str = "1000";
const GANG_WAIT_S: f64 = 40.0;
const GANG_PEER_S: f64 = 5.0;
/// Bound of clock differences; all processes read the clock of this machine.
const TIME_BOUND_MS: f64 = 100.0;

/// Addresses of one controller.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for users and workers.
    pub api: SocketAddr,
    /// Address for other controllers.
    pub peer: SocketAddr,
}

/// Services that controllers depend on.
#[derive(Debug, Clone, Copy)]
pub struct Services {
    /// State service.
    pub state: SocketAddr,
    /// Cloud.
    pub cloud: SocketAddr,
}

/// Returns the name of a controller.
pub fn controller_name(index: usize) -> String {
    format!("controller-{index}")
}

/// Returns free addresses on loopback.
pub fn free_addresses(count: usize) -> std::io::Result<Vec<Addresses>> {
    let listeners: Vec<TcpListener> = (0..count * 2)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<_, _>>()?;
    let pairs = addresses.chunks(2).map(|pair| Addresses {
        api: pair[0],
        peer: pair[1],
    });
    Ok(pairs.collect())
}

/// Returns the settings of one controller.
pub fn settings(
    config: &Config,
    index: usize,
    addresses: &[Addresses],
    services: Services,
) -> Value {
    let zones = &config.fleet.zones;
    let zone = |index: usize| &zones[index % zones.len()];
    let others = (0..addresses.len()).filter(|other| *other != index);
    let known: Vec<Value> = others
        .map(|other| {
            let peer = addresses[other].peer;
            json!({"label": controller_name(other), "site": zone(other), "peer_addr": peer})
        })
        .collect();
    json!({
        "label": controller_name(index),
        "site": zone(index),
        "api_addr": addresses[index].api,
        "cluster_listen": addresses[index].peer,
        "known": known,
        "outside": {"cloud": services.cloud, "state": services.state},
        "params": {
            "zones": zones,
            "teams": teams(config),
            "objectives": [],
            "time_bound_ms": TIME_BOUND_MS,
            "workers": {
                "report_s": config.fleet.report_s,
                "lease_s": config.fleet.lease_s,
                "cancel_s": config.fleet.cancel_s,
                "gang_wait_s": GANG_WAIT_S,
                "gang_peer_s": GANG_PEER_S,
            },
            "state": {
                "rps": config.state.rps,
                "write_rps": config.state.write_rps,
                "value_kb": config.state.value_kb,
                "txn_ops": config.state.txn_ops,
            },
            "cloud": {"rps": config.cloud.rps, "list_lag_s": config.cloud.list_lag_s},
            "resources": {
                "cpu_share": config.controllers.cpu_share,
                "memory_mb": config.controllers.memory_mb,
                "sockets": config.controllers.sockets,
            },
        },
    })
}

fn teams(config: &Config) -> Vec<Value> {
    let guarantee = config.fleet_cpus() * config.teams.guarantee_share;
    let limit = config.team_limit_cpus();
    let team = |index| json!({"name": team_name(index), "cpus": guarantee, "cpus_max": limit});
    (0..config.teams.count).map(team).collect()
}

/// Returns the name of a team.
pub fn team_name(index: usize) -> String {
    format!("team-{index}")
}

/// Processes of all controllers; dropping this kills each by its own process id.
pub struct Controllers {
    binary: PathBuf,
    directory: PathBuf,
    children: Vec<Option<Child>>,
}

impl Controllers {
    /// Writes the settings into the directory and starts the processes.
    pub fn start(
        config: &Config,
        directory: &Path,
        addresses: &[Addresses],
        services: Services,
    ) -> std::io::Result<Self> {
        let mut controllers = Self {
            binary: config.binary.clone(),
            directory: directory.to_owned(),
            children: Vec::new(),
        };
        for index in 0..config.controllers.count {
            let settings = settings(config, index, addresses, services);
            std::fs::write(controllers.settings_path(index), settings.to_string())?;
            controllers.children.push(None);
            controllers.start_process(index)?;
        }
        Ok(controllers)
    }

    fn settings_path(&self, index: usize) -> PathBuf {
        self.directory
            .join(format!("{}.json", controller_name(index)))
    }

    /// Starts the process of one controller.
    pub fn start_process(&mut self, index: usize) -> std::io::Result<()> {
        let log_path = self
            .directory
            .join(format!("{}.log", controller_name(index)));
        let log = File::options().create(true).append(true).open(log_path)?;
        let child = Command::new(&self.binary)
            .arg("--config")
            .arg(self.settings_path(index))
            .args(["--idle-boots", IDLE_BOOTS])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| {
                let message = format!("can't start controller {}: {error}", self.binary.display());
                std::io::Error::new(error.kind(), message)
            })?;
        self.children[index] = Some(child);
        Ok(())
    }

    /// Kills the process of one controller, if it is running.
    pub fn kill_process(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Samples the process of each controller; `None` if it has ended.
    pub fn sample(&self) -> Vec<Option<ProcessSample>> {
        let sample = |child: &Option<Child>| procfs::sample(child.as_ref()?.id());
        self.children.iter().map(sample).collect()
    }

    /// Returns controllers whose process has exited unexpectedly.
    pub fn exited(&mut self) -> Vec<usize> {
        let mut exited = Vec::new();
        for (index, child) in self.children.iter_mut().enumerate() {
            let has_exited = child
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
            if has_exited {
                exited.push(index);
            }
        }
        exited
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for index in 0..self.children.len() {
            self.kill_process(index);
        }
    }
}
