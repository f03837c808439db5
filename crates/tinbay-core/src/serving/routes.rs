//! Finds the route of a request.

use std::collections::HashMap;
use std::rc::Rc;

use super::configuration::{Configuration, Route};

/// Routes by host, longest prefix first.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// Builds the table from a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = without_port(host).to_ascii_lowercase();
        let routes = self.by_host.get(&name)?;
        let found = routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))?;
        Some(Rc::clone(found))
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

impl Route {
    /// Chooses the service of a request by weight, given a random `draw` in [0, 1).
    pub fn choose_service(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| target.service.as_str())
    }
}
