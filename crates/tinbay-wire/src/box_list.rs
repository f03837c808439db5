//! The platform's lagging list of boxes, `GET /v1/boxes`.

use serde::{Deserialize, Serialize};
use tinbay_core::ids::{BoxId, ZoneId};
use tinbay_core::view::{BoxRecord, BoxState};

/// A box as the platform knows it; its run is known only to itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// Its name.
    pub id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: String,
    /// Where callers and boxes reach it over HTTP.
    pub address: String,
    /// Where boxes reach it for control messages.
    pub control_address: String,
    /// Live or leaving.
    pub state: BoxState,
}

/// The list as the platform last knew it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BoxList {
    /// Live and leaving boxes.
    pub boxes: Vec<ListedBox>,
}

impl ListedBox {
    /// A record older than any the box itself sends.
    pub fn to_record(&self) -> BoxRecord {
        BoxRecord {
            id: self.id.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            address: self.address.clone(),
            control_address: self.control_address.clone(),
            incarnation: 0,
            state: self.state,
        }
    }
}
