//! Uses of adapters that their holders do not know yet.

use std::collections::HashMap;

use tinbay_core::serving::contents::AdapterKey;

use crate::servers::ServerKey;

/// Uses by server and adapter since they were last told.
#[derive(Debug, Default)]
pub struct Uses {
    by_server: HashMap<ServerKey, HashMap<AdapterKey, u32>>,
}

impl Uses {
    /// Notes a use of an adapter at a server.
    pub fn note(&mut self, server: ServerKey, key: AdapterKey) {
        let uses = self.by_server.entry(server).or_default();
        *uses.entry(key).or_default() += 1;
    }

    /// Takes the uses noted for one server.
    pub fn take(&mut self, server: ServerKey) -> Vec<(AdapterKey, u32)> {
        self.by_server
            .remove(&server)
            .map(|uses| uses.into_iter().collect())
            .unwrap_or_default()
    }
}
