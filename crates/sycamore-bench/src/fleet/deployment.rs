//! Emulated deployments: their services, data centres and sizes.

use serde_json::{json, Value};

/// Service of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service; the path prefix of its route is `/` followed by the name.
    pub name: String,
    /// Number of upstreams of the service.
    pub upstreams: usize,
}

/// Services and locations of an emulated deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Name of the deployment, as `[node] deployment` of every node has it.
    pub name: String,
    /// Names of the regions, each with the names of its data centres.
    pub regions: Vec<(String, Vec<String>)>,
    /// Services of the deployment.
    pub services: Vec<ServiceSpec>,
    /// Number of requests that each upstream runs at the same time.
    pub slots: u16,
}

/// Number of upstreams of the largest deployment that the system is designed for.
const DESIGN_UPSTREAMS: usize = 930;
/// Number of services of the largest deployment that the system is designed for.
const DESIGN_SERVICES: usize = 51;

impl Deployment {
    /// Returns the deployment of Zlatna Klupa at its present size: 12 upstreams.
    pub fn zlatna_klupa() -> Self {
        let centres = ["hr-north-a", "hr-north-b", "hr-north-c"];
        let services = [("counter", 5), ("intake", 4), ("bench", 3)];
        Self::of("zlatna-klupa", "hr-north", &centres, &services, 12)
    }

    /// Returns the deployment of Sutokatha at its present size: 11 upstreams.
    pub fn sutokatha() -> Self {
        let centres = ["kolkata", "howrah", "barasat"];
        let services = [("slotdesk", 5), ("bookbahi", 3), ("darzikhata", 3)];
        Self::of("sutokatha", "bengal", &centres, &services, 18)
    }

    /// Returns a deployment with `upstreams` upstreams in two regions with three data centres each. Its
    /// number of services is in proportion to the largest deployment that the system is designed for.
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

    /// Returns the number of upstreams of all services.
    pub fn upstreams(&self) -> usize {
        self.services.iter().map(|service| service.upstreams).sum()
    }

    /// Returns pairs of region and data centre, one for every data centre.
    pub fn centres(&self) -> Vec<(&str, &str)> {
        self.regions
            .iter()
            .flat_map(|(region, centres)| {
                centres.iter().map(move |centre| (region.as_str(), centre.as_str()))
            })
            .collect()
    }

    /// Returns the resources of a configuration with every service and one route for each.
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
