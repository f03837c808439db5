//! Every way a caller's or operator's request can fail.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use tinbay_core::assemble::AssembleError;
use tinbay_core::config::{ConfigError, ConfigKey};
use tinbay_core::ids::ModelRef;
use tinbay_core::policy::PolicyError;
use tinbay_core::units::Millis;
use tinbay_http::body::BodyError;
use tinbay_wire::error_body::{ErrorBody, ErrorCode, ErrorDetail};

/// When asking again makes sense after a passing trouble.
const SOON_MS: Millis = 500;

/// Why a request ended without an answer.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Failure {
    /// The body is not what was expected.
    #[error("body: {0}")]
    MalformedBody(String),
    /// A header or query value is not understood.
    #[error("{name} is not understood: {reason}")]
    BadParameter {
        /// The header or parameter.
        name: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// The body is too long.
    #[error("body is over {limit_bytes} bytes")]
    BodyTooLarge {
        /// What is allowed.
        limit_bytes: usize,
    },
    /// The key is not understood.
    #[error("the request key is not one that locate gave")]
    BadKey,
    /// Nothing is there.
    #[error("nothing is at this path")]
    NotFound,
    /// The method does not fit.
    #[error("the path does not take this method")]
    MethodNotAllowed,
    /// The operators' token is missing or wrong.
    #[error("the administration token is missing or wrong")]
    Unauthorized,
    /// No such adapter.
    #[error("adapter {0} does not exist")]
    UnknownAdapter(String),
    /// No such version.
    #[error("version {0} does not exist")]
    UnknownVersion(ModelRef),
    /// No such class.
    #[error("priority class {0} does not exist")]
    UnknownClass(String),
    /// No such service.
    #[error("service {0} does not exist")]
    UnknownService(String),
    /// No such object.
    #[error("{0} does not exist")]
    UnknownObject(ConfigKey),
    /// No engine fits.
    #[error("no engine of base model {0} can be used")]
    NoEngine(String),
    /// It would start too late.
    #[error("the queue is too long to start in time")]
    Overloaded {
        /// When asking again makes sense.
        retry_after_ms: Millis,
    },
    /// It waited until its last moment.
    #[error("it could not start in time")]
    DeadlinePassed {
        /// When asking again makes sense.
        retry_after_ms: Millis,
    },
    /// The adapter could not be loaded.
    #[error("the adapter could not be loaded")]
    LoadFailed {
        /// When asking again makes sense.
        retry_after_ms: Millis,
    },
    /// The box is leaving.
    #[error("this box is leaving; ask locate for another")]
    Leaving,
    /// The engine is leaving.
    #[error("the engine is leaving")]
    EngineLeaves,
    /// No box that owns the engine was found.
    #[error("the engine has no owner that answers")]
    NotOwner {
        /// When the next owner is expected.
        retry_after_ms: Millis,
    },
    /// The box is behind.
    #[error("this box is catching up with the configuration")]
    StaleConfiguration,
    /// The key was used.
    #[error("the request with this key is running or was answered")]
    AlreadyUsed,
    /// It may have run.
    #[error("whether the request ran is not known")]
    OutcomeUnknown,
    /// The rest cannot be had.
    #[error("the rest of the answer is not there any more")]
    CannotResume,
    /// The engine's answer is wrong.
    #[error("wrong answer: {0}")]
    WrongAnswer(#[from] AssembleError),
    /// The back end failed.
    #[error("the back end failed")]
    BackendFailed {
        /// Whether it is certain that nothing ran.
        not_run: bool,
    },
    /// A change fails its checks.
    #[error("{0}")]
    InvalidChange(ConfigError),
    /// A change has no items, too many, or a bad name.
    #[error("{0}")]
    MalformedChange(&'static str),
    /// A policy fails.
    #[error("policy: {0}")]
    InvalidPolicy(PolicyError),
    /// Another operator was first.
    #[error("{key} is at revision {found} now")]
    Conflict {
        /// The object.
        key: ConfigKey,
        /// Its revision.
        found: i64,
    },
    /// The key-value service is out.
    #[error("the key-value service cannot be reached; nothing was changed")]
    PlatformUnavailable,
    /// Whether the change was made is not known.
    #[error("whether change {0} was made is not known yet; ask the audit trail for it")]
    ChangeUnknown(String),
}

impl Failure {
    /// The stable code.
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

    /// When asking again makes sense.
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
            | Failure::PlatformUnavailable => Some(SOON_MS),
            Failure::BackendFailed { not_run: true } => Some(SOON_MS),
            _ => None,
        }
    }

    /// The failure as a body.
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

    /// The failure as an answer.
    pub fn to_response(&self) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.code().status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        if let Some(retry_after_ms) = self.retry_after_ms() {
            // The header counts whole seconds; the body has the milliseconds.
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
