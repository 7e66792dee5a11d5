//! Placement of dispatchers in the topology.
use crate::settings::Topology;
use cherrypass::ids::LocationId;

/// A dispatcher's zone (its location) and region, by their indexes in the topology.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    pub location: LocationId,
    pub region: usize,
}

/// Places `count` dispatchers evenly over all sites, in order.
pub fn placements(topology: &Topology, count: usize) -> Vec<Placement> {
    let sites = topology.sites.len();
    let zone_index = |name: &str| topology.zones.iter().position(|zone| zone.name == name).unwrap_or(0);
    let by_site: Vec<Placement> = topology
        .sites
        .iter()
        .map(|site| {
            let zone = zone_index(&site.zone);
            Placement {
                location: LocationId(zone as u16),
                region: region_index(topology, &topology.zones[zone].region),
            }
        })
        .collect();
    (0..count).map(|member| by_site[member * sites / count.max(1)]).collect()
}

/// Index of a region by name; the settings have been validated.
pub fn region_index(topology: &Topology, name: &str) -> usize {
    topology.regions.iter().position(|region| region == name).unwrap_or(0)
}
