//! HTTP client for the platform's list of boxes.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_http::client::get_json;
use tinbay_wire::box_list::{BoxList, ListedBox};

use super::{BoxListService, PlatformError};

/// Timeout for reading the list.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the list with `GET /v1/boxes`.
pub struct HttpBoxList {
    url: String,
}

impl HttpBoxList {
    /// Creates a client of the list service at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            url: format!("http://{address}/v1/boxes"),
        }
    }
}

impl BoxListService for HttpBoxList {
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<ListedBox>, PlatformError>> {
        async move {
            let list: BoxList = get_json(&self.url, READ_TIMEOUT)
                .await
                .map_err(|_| PlatformError::Unreachable)?;
            Ok(list.boxes)
        }
        .boxed_local()
    }
}
