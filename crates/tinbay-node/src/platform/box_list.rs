//! The platform's list of boxes over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_http::client::get_json;
use tinbay_wire::box_list::{BoxList, ListedBox};

use super::{BoxListService, PlatformError};

/// How long a read may take.
const WITHIN: Duration = Duration::from_secs(1);

/// Reads `GET /v1/boxes`.
pub struct HttpBoxList {
    url: String,
}

impl HttpBoxList {
    /// The list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            url: format!("http://{address}/v1/boxes"),
        }
    }
}

impl BoxListService for HttpBoxList {
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<ListedBox>, PlatformError>> {
        async move {
            let list: BoxList = get_json(&self.url, WITHIN)
                .await
                .map_err(|_| PlatformError::Unreachable)?;
            Ok(list.boxes)
        }
        .boxed_local()
    }
}
