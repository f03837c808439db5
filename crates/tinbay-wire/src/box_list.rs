//! The platform's list of boxes, which may be out of date: `GET /v1/boxes`.

use serde::{Deserialize, Serialize};
use tinbay_core::ids::{BoxId, ZoneId};
use tinbay_core::view::{BoxRecord, BoxState};

/// A box as listed by the platform, which does not know the box's incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// Its name.
    pub id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: String,
    /// Address for HTTP requests from callers and other boxes.
    pub address: String,
    /// Address for control messages from other boxes.
    pub control_address: String,
    /// Whether it is live or shutting down.
    pub state: BoxState,
}

/// The platform's list of boxes, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BoxList {
    /// Boxes that are live or shutting down.
    pub boxes: Vec<ListedBox>,
}

impl ListedBox {
    /// Converts to a record with incarnation 0, which any record that the box itself sends
    /// supersedes.
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
