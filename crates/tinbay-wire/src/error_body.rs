//! The typed body of every error response.

use serde::{Deserialize, Serialize};

/// Body of an error response, in machine-readable form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The failure.
    pub error: ErrorDetail,
}

/// One failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// A stable code.
    pub code: ErrorCode,
    /// One sentence for human readers.
    pub message: String,
    /// Whether the request certainly did not run.
    pub not_run: bool,
    /// Time after which a retry makes sense; absent if none does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Stable codes of failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The body is not the expected JSON.
    MalformedBody,
    /// A header or query value is invalid.
    BadParameter,
    /// The body is over the limit.
    BodyTooLarge,
    /// The request key is invalid.
    BadKey,
    /// Nothing is at this path.
    NotFound,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The administration token is missing or wrong.
    Unauthorized,
    /// No such adapter.
    UnknownAdapter,
    /// No such version of the adapter.
    UnknownVersion,
    /// No such priority class.
    UnknownClass,
    /// No such plain service.
    UnknownService,
    /// No such object.
    UnknownObject,
    /// No engine of the adapter's base model can be used.
    NoEngine,
    /// The request would start too late.
    Overloaded,
    /// The request was still queued when its latest start time passed.
    DeadlinePassed,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The box is shutting down.
    Leaving,
    /// The engine is shutting down.
    EngineLeaves,
    /// This box does not own the engine.
    NotOwner,
    /// The box must catch up with the configuration first.
    StaleConfiguration,
    /// The request with this key is running or was answered.
    AlreadyUsed,
    /// The request may have run; whether it did cannot be known.
    OutcomeUnknown,
    /// The rest of an interrupted response is no longer available.
    CannotResume,
    /// The response named another adapter or version, or had a gap.
    WrongAnswer,
    /// The backend server refused the request or failed.
    BackendFailed,
    /// A configuration change fails its checks.
    InvalidChange,
    /// A policy program does not compile or fails on the samples.
    InvalidPolicy,
    /// Another operator has changed the object in the meantime.
    Conflict,
    /// The key-value service cannot be reached; the change was not made.
    PlatformUnavailable,
    /// Whether the change was made is not known yet; query it by its change id.
    ChangeUnknown,
}

impl ErrorCode {
    /// Returns the HTTP status for the code.
    pub fn status(self) -> u16 {
        match self {
            ErrorCode::MalformedBody | ErrorCode::BadParameter | ErrorCode::BadKey => 400,
            ErrorCode::Unauthorized => 401,
            ErrorCode::NotFound
            | ErrorCode::UnknownAdapter
            | ErrorCode::UnknownVersion
            | ErrorCode::UnknownClass
            | ErrorCode::UnknownService
            | ErrorCode::UnknownObject => 404,
            ErrorCode::MethodNotAllowed => 405,
            ErrorCode::AlreadyUsed | ErrorCode::Conflict | ErrorCode::CannotResume => 409,
            ErrorCode::BodyTooLarge => 413,
            ErrorCode::NotOwner => 421,
            ErrorCode::InvalidChange | ErrorCode::InvalidPolicy => 422,
            ErrorCode::Overloaded => 429,
            ErrorCode::WrongAnswer | ErrorCode::BackendFailed => 502,
            ErrorCode::NoEngine
            | ErrorCode::LoadFailed
            | ErrorCode::Leaving
            | ErrorCode::EngineLeaves
            | ErrorCode::StaleConfiguration
            | ErrorCode::DeadlinePassed
            | ErrorCode::PlatformUnavailable => 503,
            ErrorCode::OutcomeUnknown | ErrorCode::ChangeUnknown => 504,
        }
    }
}
