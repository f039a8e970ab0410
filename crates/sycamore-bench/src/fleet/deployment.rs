//! Deployments: which services, where and how large.

use serde_json::{json, Value};

/// A service of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its name; its route's prefix is `/` and the name.
    pub name: String,
    /// Its upstreams.
    pub upstreams: usize,
}

/// A deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// Its regions, each with its data centres.
    pub regions: Vec<(String, Vec<String>)>,
    /// Its services.
    pub services: Vec<ServiceSpec>,
    /// Slots of each upstream.
    pub slots: u16,
}

/// Upstreams of the size to design for.
const DESIGN_UPSTREAMS: usize = 930;
/// Services of the size to design for.
const DESIGN_SERVICES: usize = 51;

impl Deployment {
    /// Zlatna Klupa's size of today: 12 upstreams.
    pub fn zlatna_klupa() -> Self {
        let centres = ["hr-north-a", "hr-north-b", "hr-north-c"];
        let services = [("counter", 5), ("intake", 4), ("bench", 3)];
        Self::of("zlatna-klupa", "hr-north", &centres, &services, 12)
    }

    /// Sutokatha's size of today: 11 upstreams.
    pub fn sutokatha() -> Self {
        let centres = ["kolkata", "howrah", "barasat"];
        let services = [("slotdesk", 5), ("bookbahi", 3), ("darzikhata", 3)];
        Self::of("sutokatha", "bengal", &centres, &services, 18)
    }

    /// `upstreams` upstreams in two regions with six data centres, with services in the proportion
    /// of the size to design for.
    pub fn scaled(upstreams: usize) -> Self {
        let count = (upstreams * DESIGN_SERVICES).div_ceil(DESIGN_UPSTREAMS).max(1);
        let services = (0..count).map(|i| ServiceSpec {
            name: format!("service-{i}"),
            upstreams: upstreams / count + usize::from(i < upstreams % count),
        });
        let region = |name: &str| {
            let centres = (1..=3).map(|i| format!("{name}-{i}")).collect();
            (name.to_owned(), centres)
        };
        Self {
            name: "scaled".into(),
            regions: vec![region("east"), region("west")],
            services: services.collect(),
            slots: 12,
        }
    }

    fn of(
        name: &str,
        region: &str,
        centres: &[&str],
        services: &[(&str, usize)],
        slots: u16,
    ) -> Self {
        let centres = centres.iter().map(|centre| (*centre).to_owned()).collect();
        let services = services
            .iter()
            .map(|(name, upstreams)| ServiceSpec { name: (*name).into(), upstreams: *upstreams });
        Self {
            name: name.into(),
            regions: vec![(region.into(), centres)],
            services: services.collect(),
            slots,
        }
    }

    /// All upstreams.
    pub fn upstreams(&self) -> usize {
        self.services.iter().map(|service| service.upstreams).sum()
    }

    /// Every data centre with its region.
    pub fn centres(&self) -> Vec<(&str, &str)> {
        self.regions
            .iter()
            .flat_map(|(region, centres)| {
                centres.iter().map(move |centre| (region.as_str(), centre.as_str()))
            })
            .collect()
    }

    /// The resources of a configuration with one route for each service.
    pub fn resources(&self) -> Vec<Value> {
        let services =
            self.services.iter().map(|service| json!({ "kind": "service", "name": service.name }));
        let routes = self.services.iter().map(|service| {
            json!({
                "kind": "route",
                "name": service.name,
                "prefix": format!("/{}", service.name),
                "service": service.name,
                "timeout_ms": 5_000,
            })
        });
        services.chain(routes).collect()
    }
}
