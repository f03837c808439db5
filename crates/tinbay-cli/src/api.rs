//! Client of the boxes' administration interface.

use std::time::Duration;

use ntex::client::{ClientRequest, ClientResponse};
use ntex::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tinbay_core::config::Kind;
use tinbay_core::ids::ModelRef;
use tinbay_core::policy::PolicySettings;
use tinbay_core::units::{Millis, Revision};
use tinbay_core::view::BoxState;
use tinbay_http::client::{CallError, await_head, pooled_client, read_answer, read_any};
use tinbay_wire::admin::{
    AuditRecord, ChangeAccepted, ChangeRequest, DrainAnswer, ObjectRecord, PolicyTry, Status,
};
use tinbay_wire::error_body::ErrorBody;
use tinbay_wire::locate::LocateAnswer;

use crate::error::CliError;
use crate::options::CommonOptions;

/// Longest wait for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two checks whether a revision is in force everywhere.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends each request to the first of several boxes that answers.
#[derive(Debug, Clone)]
pub struct Api {
    box_addresses: Vec<String>,
    token: Option<String>,
}

impl Api {
    /// Creates a client of the boxes given in the options.
    pub fn new(common: &CommonOptions) -> Self {
        Self {
            box_addresses: common.box_addresses.clone(),
            token: common.token.clone(),
        }
    }

    /// Applies a change.
    ///
    /// # Errors
    /// Returns [`CliError::Refused`] if the box refuses the request and
    /// [`CliError::Unreachable`] if no box answers or the answer cannot be read.
    pub async fn change(&self, change: &ChangeRequest) -> Result<ChangeAccepted, CliError> {
        self.post("/admin/v1/changes", change).await
    }

    /// Returns the configuration objects, optionally only those of one kind, or one of that kind.
    ///
    /// # Errors
    /// Same as [`Api::change`].
    pub async fn objects(
        &self,
        kind: Option<Kind>,
        name: Option<&str>,
    ) -> Result<Vec<ObjectRecord>, CliError> {
        let kind = kind.map(|kind| ("kind", kind.as_str()));
        let name = name.map(|name| ("name", name));
        let parameters: Vec<(&str, &str)> = kind.into_iter().chain(name).collect();
        self.get(&with_query("/admin/v1/objects", &parameters))
            .await
    }

    /// Returns the audit trail, optionally of one change.
    ///
    /// # Errors
    /// Same as [`Api::change`].
    pub async fn audit(&self, change: Option<&str>) -> Result<Vec<AuditRecord>, CliError> {
        let parameters: Vec<(&str, &str)> = change.map(|id| ("change", id)).into_iter().collect();
        self.get(&with_query("/admin/v1/audit", &parameters)).await
    }

    /// Returns the state of the fleet.
    ///
    /// # Errors
    /// Same as [`Api::change`].
    pub async fn status(&self) -> Result<Status, CliError> {
        self.get("/admin/v1/status").await
    }

    /// Compiles a policy on a box.
    ///
    /// # Errors
    /// Same as [`Api::change`].
    pub async fn try_policy(&self, program: &str) -> Result<PolicySettings, CliError> {
        let body = PolicyTry {
            program: program.to_owned(),
        };
        self.post("/admin/v1/policies/try", &body).await
    }

    /// Drains the first box that answers.
    ///
    /// # Errors
    /// Same as [`Api::change`].
    pub async fn drain(&self) -> Result<DrainAnswer, CliError> {
        self.post("/admin/v1/drain", &()).await
    }

    /// Returns the addresses that callers should use, optionally for one model.
    ///
    /// # Errors
    /// Same as [`Api::change`].
    pub async fn locate(&self, model: Option<&ModelRef>) -> Result<LocateAnswer, CliError> {
        let model = model.map(ToString::to_string);
        let parameters: Vec<(&str, &str)> = model.iter().map(|model| ("model", &**model)).collect();
        self.get(&with_query("/v1/locate", &parameters)).await
    }

    /// Waits until a revision is in force on every live box.
    ///
    /// # Errors
    /// Returns [`CliError::NotInForce`] with the lagging boxes after `wait_ms`, and the errors of
    /// [`Api::status`] at once.
    pub async fn wait_in_force(&self, revision: Revision, wait_ms: Millis) -> Result<(), CliError> {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let lagging = lagging_boxes(&self.status().await?, revision);
            if lagging.is_empty() {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(CliError::NotInForce { revision, lagging });
            }
            tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.call(Method::GET, path, |request| Box::pin(request.send()))
            .await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CliError> {
        let json = serde_json::to_vec(body)?;
        self.call(Method::POST, path, |request| {
            let request = request.content_type("application/json");
            Box::pin(request.send_body(json.clone()))
        })
        .await
    }

    /// Sends a request to one box after another until one answers.
    async fn call<T, S>(&self, method: Method, path: &str, send: S) -> Result<T, CliError>
    where
        T: DeserializeOwned,
        S: Fn(ClientRequest) -> ResponseFuture,
    {
        let mut last_error = CallError::NotConnected;
        for server in &self.box_addresses {
            let url = format!("http://{server}{path}");
            let mut request = pooled_client().await.request(method.clone(), url.as_str());
            if let Some(token) = &self.token {
                request = request.bearer_auth(token);
            }
            match await_head(send(request), HEAD_TIMEOUT).await {
                Ok(response) => return read_response(&response).await,
                Err(error) => last_error = error,
            }
        }
        Err(last_error.into())
    }
}

/// Appends parameters, which it encodes, to a path.
fn with_query(path: &str, parameters: &[(&str, &str)]) -> String {
    if parameters.is_empty() {
        return path.to_owned();
    }
    let target = format!("{path}?");
    let start = target.len();
    let mut query = form_urlencoded::Serializer::for_suffix(target, start);
    query.extend_pairs(parameters).finish()
}

type ResponseFuture = std::pin::Pin<
    Box<dyn Future<Output = Result<ClientResponse, ntex::client::error::ClientError>>>,
>;

async fn read_response<T: DeserializeOwned>(response: &ClientResponse) -> Result<T, CliError> {
    if response.status().is_success() {
        return Ok(read_answer(response).await?);
    }
    let body: ErrorBody = read_any(response).await?;
    Err(CliError::Refused(body.error))
}

/// Returns the live boxes on which a revision is not in force.
pub fn lagging_boxes(status: &Status, revision: Revision) -> Vec<String> {
    status
        .boxes
        .iter()
        .filter(|entry| entry.record.state == BoxState::Live)
        .filter(|entry| entry.revision.is_none_or(|in_force| in_force < revision))
        .map(|entry| entry.record.id.to_string())
        .collect()
}
