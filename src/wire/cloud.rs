//! Messages of the cloud API.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::{
    job::Resources,
    machine::{ListedMachine, ListedState, MachineType},
    provisioning::{CloudReply, CloudRequest, ProvisioningRequest},
};

#[derive(Debug, Deserialize)]
struct Flavors {
    frames: Vec<Flavor>,
}

#[derive(Debug, Deserialize)]
struct Flavor {
    label: Arc<str>,
    cpus: f64,
    gpus: f64,
    mem_gb: f64,
    #[serde(default)]
    local_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    #[serde(default)]
    hourly: f64,
    #[serde(default)]
    market_price: Option<f64>,
    #[serde(default)]
    boot_s: f64,
    #[serde(default)]
    fields: Vec<Arc<str>>,
}

pub fn parse_types(body: &[u8]) -> Option<Vec<MachineType>> {
    let flavors: Flavors = serde_json::from_slice(body).ok()?;
    Some(
        flavors
            .frames
            .into_iter()
            .map(|f| MachineType {
                name: f.label,
                size: Resources {
                    cpus: f.cpus,
                    gpus: f.gpus,
                    memory_gb: f.mem_gb,
                },
                cache_gb: f.local_gb,
                fetch_gb_per_s: f.fetch_gb_per_s,
                price: f.hourly,
                spot_price: f.market_price.unwrap_or(f.hourly),
                boot_s: f.boot_s,
                zones: f.fields,
            })
            .collect(),
    )
}

#[derive(Debug, Serialize)]
struct ProvisionBody<'a> {
    charter: &'a str,
    frame: &'a str,
    field: &'a str,
    gusts: bool,
    how_many: u32,
}

pub fn provision_body(request: &ProvisioningRequest) -> String {
    let body = ProvisionBody {
        charter: &request.id,
        frame: &request.machine_type,
        field: &request.zone,
        gusts: request.spot,
        how_many: request.count,
    };
    serde_json::to_string(&body).unwrap_or_default()
}

#[derive(Debug, Deserialize, Serialize)]
struct MachineNames {
    perches: Vec<Arc<str>>,
}

pub fn parse_machine_names(body: &[u8]) -> Option<Vec<Arc<str>>> {
    Some(serde_json::from_slice::<MachineNames>(body).ok()?.perches)
}

pub fn release_body(machines: &[Arc<str>]) -> String {
    let names = MachineNames {
        perches: machines.to_vec(),
    };
    serde_json::to_string(&names).unwrap_or_default()
}

#[derive(Debug, Deserialize)]
struct Page {
    perches: Vec<Listed>,
    #[serde(default)]
    more: bool,
}

#[derive(Debug, Deserialize)]
struct Listed {
    uid: Arc<str>,
    frame: Arc<str>,
    field: Arc<str>,
    #[serde(default)]
    gusts: bool,
    attitude: String,
    #[serde(default)]
    age_s: f64,
}

pub fn list_path(after: &str) -> String {
    format!("/hosts?after={after}&page=500")
}

pub fn parse_list(body: &[u8]) -> Option<(Vec<ListedMachine>, bool)> {
    let page: Page = serde_json::from_slice(body).ok()?;
    let machines = page
        .perches
        .into_iter()
        .map(|m| ListedMachine {
            id: m.uid,
            machine_type: m.frame,
            zone: m.field,
            spot: m.gusts,
            state: match m.attitude.as_str() {
                "starting" => ListedState::Booting,
                "failed" => ListedState::Failed,
                _ => ListedState::Running,
            },
            age: crate::settings::seconds(m.age_s),
        })
        .collect();
    Some((machines, page.more))
}

/// Decodes a response. One that can't be decoded counts as an unclear outcome.
pub fn decode(request: &CloudRequest, status: u16, body: &[u8]) -> CloudReply {
    let reply = match (status, request) {
        (429, _) => Some(CloudReply::Refused),
        (503, CloudRequest::Provision(_)) if is_no_capacity(body) => Some(CloudReply::NoCapacity),
        (503, _) => Some(CloudReply::Refused),
        (400, CloudRequest::Provision(_)) => Some(CloudReply::NoCapacity),
        (200, CloudRequest::Types) => parse_types(body).map(CloudReply::Types),
        (200, CloudRequest::List { .. }) => {
            parse_list(body).map(|(machines, more)| CloudReply::Machines { machines, more })
        }
        (200, CloudRequest::Provision(_)) => parse_machine_names(body).map(CloudReply::Provisioned),
        (200, CloudRequest::Release { .. }) => Some(CloudReply::Released),
        _ => None,
    };
    reply.unwrap_or(CloudReply::Unclear)
}

fn is_no_capacity(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct ErrorBody {
        error: String,
    }
    serde_json::from_slice::<ErrorBody>(body).is_ok_and(|body| body.error == "no capacity")
}
