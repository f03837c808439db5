//! The administration interface as the command line calls it.

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

/// How long a call may take.
const WITHIN: Duration = Duration::from_secs(10);

/// How often the command line looks whether a revision is in force everywhere.
const IN_FORCE_POLL: Duration = Duration::from_millis(100);

/// Calls the first box that answers.
#[derive(Debug, Clone)]
pub struct Api {
    servers: Vec<String>,
    token: Option<String>,
}

impl Api {
    /// An interface at the boxes of the options.
    pub fn new(common: &CommonOptions) -> Self {
        Self {
            servers: common.servers.clone(),
            token: common.token.clone(),
        }
    }

    /// Makes a change.
    ///
    /// # Errors
    /// [`CliError::Refused`] or [`CliError::Unreachable`], as every call here.
    pub async fn change(&self, change: &ChangeRequest) -> Result<ChangeAccepted, CliError> {
        self.post("/admin/v1/changes", change).await
    }

    /// Reads objects.
    ///
    /// # Errors
    /// As [`Api::change`].
    pub async fn objects(
        &self,
        kind: Option<Kind>,
        name: Option<&str>,
    ) -> Result<Vec<ObjectRecord>, CliError> {
        let mut path = "/admin/v1/objects".to_owned();
        if let Some(kind) = kind {
            path.push_str(&format!("?kind={}", kind.as_str()));
        }
        if let Some(name) = name {
            path.push_str(&format!("&name={name}"));
        }
        self.get(&path).await
    }

    /// Reads the audit trail.
    ///
    /// # Errors
    /// As [`Api::change`].
    pub async fn audit(&self, change: Option<&str>) -> Result<Vec<AuditRecord>, CliError> {
        match change {
            Some(id) => self.get(&format!("/admin/v1/audit?change={id}")).await,
            None => self.get("/admin/v1/audit").await,
        }
    }

    /// Reads the state of the fleet.
    ///
    /// # Errors
    /// As [`Api::change`].
    pub async fn status(&self) -> Result<Status, CliError> {
        self.get("/admin/v1/status").await
    }

    /// Tries a policy at a box.
    ///
    /// # Errors
    /// As [`Api::change`].
    pub async fn try_policy(&self, program: &str) -> Result<PolicySettings, CliError> {
        let body = PolicyTry {
            program: program.to_owned(),
        };
        self.post("/admin/v1/policies/try", &body).await
    }

    /// Makes the box that answers at the first server leave.
    ///
    /// # Errors
    /// As [`Api::change`].
    pub async fn drain(&self) -> Result<DrainAnswer, CliError> {
        self.post("/admin/v1/drain", &()).await
    }

    /// Asks which addresses to use.
    ///
    /// # Errors
    /// As [`Api::change`].
    pub async fn locate(&self, model: Option<&ModelRef>) -> Result<LocateAnswer, CliError> {
        match model {
            Some(model) => self.get(&format!("/v1/locate?model={model}")).await,
            None => self.get("/v1/locate").await,
        }
    }

    /// Waits until a revision is in force on every box that takes work.
    ///
    /// # Errors
    /// [`CliError::NotInForce`] with the boxes that lag.
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
            tokio::time::sleep(IN_FORCE_POLL).await;
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

    /// Asks one box after the other until one can be reached.
    async fn call<T, S>(&self, method: Method, path: &str, send: S) -> Result<T, CliError>
    where
        T: DeserializeOwned,
        S: Fn(ClientRequest) -> Sending,
    {
        let mut last = CallError::NotConnected;
        for server in &self.servers {
            let url = format!("http://{server}{path}");
            let mut request = pooled_client().await.request(method.clone(), url.as_str());
            if let Some(token) = &self.token {
                request = request.bearer_auth(token);
            }
            match await_head(send(request), WITHIN).await {
                Ok(response) => return read(&response).await,
                Err(error) => last = error,
            }
        }
        Err(last.into())
    }
}

type Sending = std::pin::Pin<
    Box<dyn Future<Output = Result<ClientResponse, ntex::client::error::ClientError>>>,
>;

async fn read<T: DeserializeOwned>(response: &ClientResponse) -> Result<T, CliError> {
    if response.status().is_success() {
        return Ok(read_answer(response).await?);
    }
    let body: ErrorBody = read_any(response).await?;
    Err(CliError::Refused(body.error))
}

/// Boxes that take work and do not have a revision in force.
pub fn lagging_boxes(status: &Status, revision: Revision) -> Vec<String> {
    status
        .boxes
        .iter()
        .filter(|entry| entry.record.state == BoxState::Live)
        .filter(|entry| entry.revision.is_none_or(|found| found < revision))
        .map(|entry| entry.record.id.to_string())
        .collect()
}
