//! The failures that callers and operators can receive, with their codes and messages.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use tinbay_core::assemble::AssembleError;
use tinbay_core::config::{ConfigError, ConfigKey};
use tinbay_core::ids::ModelRef;
use tinbay_core::policy::PolicyError;
use tinbay_core::units::Millis;
use tinbay_http::body::BodyError;
use tinbay_wire::error_body::{ErrorBody, ErrorCode, ErrorDetail};

/// Retry delay reported for failures that are expected to pass soon.
const DEFAULT_RETRY_AFTER_MS: Millis = 500;

/// Why a request ended without an answer.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Failure {
    /// The body is incomplete or cannot be parsed.
    #[error("body: {0}")]
    MalformedBody(String),
    /// A header or query parameter cannot be parsed.
    #[error("{name} is not understood: {reason}")]
    BadParameter {
        /// Name of the header or parameter.
        name: &'static str,
        /// What is wrong with its value.
        reason: String,
    },
    /// The body exceeds the configured limit.
    #[error("body is over {limit_bytes} bytes")]
    BodyTooLarge {
        /// The limit that was exceeded.
        limit_bytes: usize,
    },
    /// The request key cannot be parsed.
    #[error("the request key is not one that locate gave")]
    BadKey,
    /// The path does not exist.
    #[error("nothing is at this path")]
    NotFound,
    /// The path exists but does not support the method.
    #[error("the path does not take this method")]
    MethodNotAllowed,
    /// The admin token is missing or wrong.
    #[error("the administration token is missing or wrong")]
    Unauthorized,
    /// The requested adapter is not configured.
    #[error("adapter {0} does not exist")]
    UnknownAdapter(String),
    /// The requested version of an adapter is not configured.
    #[error("version {0} does not exist")]
    UnknownVersion(ModelRef),
    /// The requested priority class is not configured.
    #[error("priority class {0} does not exist")]
    UnknownClass(String),
    /// The requested service is not configured.
    #[error("service {0} does not exist")]
    UnknownService(String),
    /// The requested configuration object does not exist.
    #[error("{0} does not exist")]
    UnknownObject(ConfigKey),
    /// No engine of the region serves the adapter's base model.
    #[error("no engine of base model {0} can be used")]
    NoEngine(String),
    /// The queue is too long for the request to start before its deadline.
    #[error("the queue is too long to start in time")]
    Overloaded {
        /// Delay after which a retry may succeed.
        retry_after_ms: Millis,
    },
    /// The request was still queued at its deadline.
    #[error("it could not start in time")]
    DeadlinePassed {
        /// Delay after which a retry may succeed.
        retry_after_ms: Millis,
    },
    /// The engine could not load the adapter.
    #[error("the adapter could not be loaded")]
    LoadFailed {
        /// Delay after which a retry may succeed.
        retry_after_ms: Millis,
    },
    /// The box is leaving the fleet and accepts no new work.
    #[error("this box is leaving; ask locate for another")]
    Leaving,
    /// The engine is leaving the fleet and accepts no new requests.
    #[error("the engine is leaving")]
    EngineLeaves,
    /// No owner of the engine could be reached.
    #[error("the engine has no owner that answers")]
    NotOwner {
        /// Time until the next owner is expected.
        retry_after_ms: Millis,
    },
    /// The box does not have the required configuration yet.
    #[error("this box is catching up with the configuration")]
    StaleConfiguration,
    /// The request key has been used already.
    #[error("the request with this key is running or was answered")]
    AlreadyUsed,
    /// The request may have run.
    #[error("whether the request ran is not known")]
    OutcomeUnknown,
    /// The engine no longer has the rest of the answer.
    #[error("the rest of the answer is not there any more")]
    CannotResume,
    /// The engine's answer is for another request or model, or has a gap.
    #[error("wrong answer: {0}")]
    WrongAnswer(#[from] AssembleError),
    /// The engine or service failed.
    #[error("the back end failed")]
    BackendFailed {
        /// Whether it is certain that nothing ran.
        not_run: bool,
    },
    /// A configuration change violates a rule.
    #[error("{0}")]
    InvalidChange(ConfigError),
    /// A configuration change has no items, too many, or an invalid name.
    #[error("{0}")]
    MalformedChange(&'static str),
    /// A policy does not compile or fails.
    #[error("policy: {0}")]
    InvalidPolicy(PolicyError),
    /// The object has been changed since the revision that the operator expected.
    #[error("{key} is at revision {found} now")]
    Conflict {
        /// The object that was to be changed.
        key: ConfigKey,
        /// Its current revision.
        found: i64,
    },
    /// The key-value service cannot be reached.
    #[error("the key-value service cannot be reached; nothing was changed")]
    PlatformUnavailable,
    /// The change may or may not have been made.
    #[error("whether change {0} was made is not known yet; ask the audit trail for it")]
    ChangeUnknown(String),
}

impl Failure {
    /// The stable code for callers to match on.
    pub fn code(&self) -> ErrorCode {
        match self {
            Failure::MalformedBody(_) => ErrorCode::MalformedBody,
            Failure::BadParameter { .. } => ErrorCode::BadParameter,
            Failure::BodyTooLarge { .. } => ErrorCode::BodyTooLarge,
            Failure::BadKey => ErrorCode::BadKey,
            Failure::NotFound => ErrorCode::NotFound,
            Failure::MethodNotAllowed => ErrorCode::MethodNotAllowed,
            Failure::Unauthorized => ErrorCode::Unauthorized,
            Failure::UnknownAdapter(_) => ErrorCode::UnknownAdapter,
            Failure::UnknownVersion(_) => ErrorCode::UnknownVersion,
            Failure::UnknownClass(_) => ErrorCode::UnknownClass,
            Failure::UnknownService(_) => ErrorCode::UnknownService,
            Failure::UnknownObject(_) => ErrorCode::UnknownObject,
            Failure::NoEngine(_) => ErrorCode::NoEngine,
            Failure::Overloaded { .. } => ErrorCode::Overloaded,
            Failure::DeadlinePassed { .. } => ErrorCode::DeadlinePassed,
            Failure::LoadFailed { .. } => ErrorCode::LoadFailed,
            Failure::Leaving => ErrorCode::Leaving,
            Failure::EngineLeaves => ErrorCode::EngineLeaves,
            Failure::NotOwner { .. } => ErrorCode::NotOwner,
            Failure::StaleConfiguration => ErrorCode::StaleConfiguration,
            Failure::AlreadyUsed => ErrorCode::AlreadyUsed,
            Failure::OutcomeUnknown => ErrorCode::OutcomeUnknown,
            Failure::CannotResume => ErrorCode::CannotResume,
            Failure::WrongAnswer(_) => ErrorCode::WrongAnswer,
            Failure::BackendFailed { .. } => ErrorCode::BackendFailed,
            Failure::InvalidChange(_) | Failure::MalformedChange(_) => ErrorCode::InvalidChange,
            Failure::InvalidPolicy(_) => ErrorCode::InvalidPolicy,
            Failure::Conflict { .. } => ErrorCode::Conflict,
            Failure::PlatformUnavailable => ErrorCode::PlatformUnavailable,
            Failure::ChangeUnknown(_) => ErrorCode::ChangeUnknown,
        }
    }

    /// Whether it is certain that nothing ran.
    pub fn is_not_run(&self) -> bool {
        match self {
            Failure::AlreadyUsed
            | Failure::CannotResume
            | Failure::OutcomeUnknown
            | Failure::WrongAnswer(_)
            | Failure::ChangeUnknown(_) => false,
            Failure::BackendFailed { not_run } => *not_run,
            _ => true,
        }
    }

    /// Delay after which a retry may succeed; `None` if no retry is suggested.
    pub fn retry_after_ms(&self) -> Option<Millis> {
        match self {
            Failure::Overloaded { retry_after_ms }
            | Failure::DeadlinePassed { retry_after_ms }
            | Failure::LoadFailed { retry_after_ms }
            | Failure::NotOwner { retry_after_ms } => Some(*retry_after_ms),
            Failure::NoEngine(_)
            | Failure::Leaving
            | Failure::EngineLeaves
            | Failure::StaleConfiguration
            | Failure::PlatformUnavailable => Some(DEFAULT_RETRY_AFTER_MS),
            Failure::BackendFailed { not_run: true } => Some(DEFAULT_RETRY_AFTER_MS),
            _ => None,
        }
    }

    /// Converts the failure into a response body.
    pub fn to_body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: self.code(),
                message: self.to_string(),
                not_run: self.is_not_run(),
                retry_after_ms: self.retry_after_ms(),
            },
        }
    }

    /// Converts the failure into a response.
    pub fn to_response(&self) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.code().status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        if let Some(retry_after_ms) = self.retry_after_ms() {
            // The header has whole seconds; the body has the exact milliseconds.
            let seconds = retry_after_ms.div_ceil(1_000);
            response.set_header("retry-after", seconds.to_string());
        }
        response.json(&self.to_body())
    }
}

impl From<BodyError> for Failure {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge { limit_bytes } => Failure::BodyTooLarge { limit_bytes },
            BodyError::Broken => Failure::MalformedBody("it broke off".to_owned()),
            BodyError::Json(error) => Failure::MalformedBody(error.to_string()),
        }
    }
}
