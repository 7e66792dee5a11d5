//! The configurations and operator files of the processes, and the entries of the hosts in the change log.
use super::Play;
use crate::changelog::HostEntry;
use crate::clients::CLASSES;
use crate::hosts::{self, Host};
use crate::notation::HostKind;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;

/// The settings of a class with its deadline in milliseconds.
fn class_settings(name: &str, limit_ms: u64) -> Value {
    let effect = match name {
        "read" => json!({"effect": "idempotent"}),
        "order" => json!({"effect": "deduplicated", "group": "all", "memory_span": 5_000_000}),
        _ => json!({"effect": "at_most_once"}),
    };
    let mut class = json!({"name": name, "aim": 400_000, "deadline": limit_ms * 1000});
    let effect = effect.as_object().cloned().unwrap_or_default();
    class.as_object_mut().into_iter().for_each(|fields| fields.extend(effect.clone()));
    class
}

impl Play<'_> {
    /// The entry of a host in the change log.
    pub(super) fn entry(&self, name: &str) -> Option<HostEntry> {
        let hosts = self.scenario.hosts.iter().find(|hosts| hosts.names.iter().any(|own| own == name))?;
        let host = self.host(name)?;
        let (zone, kind) = match hosts.kind {
            HostKind::Cache => (hosts.location.clone()?, "small"),
            HostKind::Parent => ("hub".to_owned(), "parent"),
            HostKind::Origin => ("hub".to_owned(), "origin"),
        };
        let (address, started) = (host.address, host.started_ms());
        Some(HostEntry {
            name: host.name.clone(),
            address,
            zone,
            kind,
            weight: hosts.transfers,
            started_ms: started,
        })
    }

    pub(super) fn host(&self, name: &str) -> Option<Arc<Host>> {
        self.hosts.read().ok()?.get(&format!("s-{name}")).cloned()
    }

    /// The configuration of the dispatcher with this index.
    pub(super) fn config(&self, index: usize, name: &str, listen: SocketAddr) -> String {
        let dispatchers = &self.scenario.dispatchers;
        let zone = |location: &String| self.zones.iter().position(|zone| zone == location).unwrap_or(0);
        let own = zone(&dispatchers[index].1);
        let count = |zone: &String| dispatchers.iter().filter(|(_, location)| location == zone).count();
        let counts: Vec<usize> = self.zones.iter().map(count).collect();
        let services: Vec<_> = CLASSES.iter().map(|(name, limit)| class_settings(name, *limit)).collect();
        let micros = |seconds: f64| (seconds * 1e6) as u64;
        let settings = json!({
            "balancers": dispatchers.len(), "me": index, "zone": own, "zones": self.zones,
            "weight_source": "rough", "models": ["small", "parent", "origin"], "services": services,
            "bounds": {"cancel": true, "connect_timeout": 300_000, "conn_idle": 15_000_000, "streams_per_conn": 32,
                "max_attempts": 6, "retry_after": true, "max_retry_after": 2_000_000},
            "rules": {"cold_from": hosts::COLD_SHARE, "cold": micros(hosts::COLD_RAMP_S),
                "overload_factor": hosts::OVERLOAD_FACTOR, "overload_for": micros(hosts::OVERLOAD_WINDOW_S)},
            "domain": {"class_fresh": [0, 0, 0], "goes_through": [false, true, true], "may_pass_by": true,
                "obey_after": 1_000_000, "pace_kb_per_s": 0, "parent_kind": 1, "source_kind": 2,
                "purge_done": micros(hosts::PURGE_DELAY_S + 1.0), "count_by_zone": counts},
        });
        json!({"name": name, "listen": listen.to_string(), "seed": format!("{:x}", self.setup.seed ^ index as u64),
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "changelog": self.change_log.address.to_string(),
            "known": self.change_log.all_results(), "settings": settings})
        .to_string()
    }

    /// The operator file of a process; other members are addressed through the links.
    pub(super) fn operator_file(&self, name: &str, joins: bool, form: Option<u8>) -> Option<String> {
        let fleet = &self.fleet_addresses;
        let at = |suffix: &str| self.file_of(name, suffix).display().to_string();
        let mut text = String::from("{\n");
        if self.scenario.has_store {
            text += &format!("  store: {{ dir: '{}' }},\n", at("-kept"));
        }
        if let Some(keys) = self.scenario.fleet.as_ref().filter(|_| joins) {
            let members: Vec<String> = self
                .scenario
                .dispatchers
                .iter()
                .filter_map(|(other, location)| {
                    let link = self.links.get(&(name.to_owned(), other.clone()));
                    let address = link.map_or(fleet.get(other).copied(), |link| Some(link.address))?;
                    Some(format!("{{ name: '{other}', address: '{address}', location: '{location}' }}"))
                })
                .collect();
            let control =
                self.control_addresses.get(name).map_or(String::new(), |at| format!("control: '{at}', "));
            text += &format!(
                "  fleet: {{ name: 'bed', me: '{name}', listen: '{}', events: '{}', {control}members: [{}]{} }} + {keys},\n",
                fleet.get(name)?,
                at(".events"),
                members.join(", "),
                form.map_or(String::new(), |form| format!(", form: {form}"))
            );
        }
        (self.scenario.has_store || self.scenario.fleet.is_some()).then(|| text + "}\n")
    }
}
