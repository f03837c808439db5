//! The typed body of every answer that is not a success.

use serde::{Deserialize, Serialize};

/// What went wrong, as a caller's program reads it.
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
    /// One sentence for a person.
    pub message: String,
    /// Whether it is certain that nothing ran.
    pub not_run: bool,
    /// When asking again makes sense; absent where it does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Stable codes of failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The body is not the JSON expected.
    MalformedBody,
    /// A header or query value is not understood.
    BadParameter,
    /// The body is over the limit.
    BodyTooLarge,
    /// The request key is not understood.
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
    /// The request waited until its last moment to start.
    DeadlinePassed,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The box is leaving.
    Leaving,
    /// The engine is leaving.
    EngineLeaves,
    /// This box does not own the engine.
    NotOwner,
    /// The box must catch up with the configuration first.
    StaleConfiguration,
    /// The request with this key is running or was answered.
    AlreadyUsed,
    /// The request may have run; whether it did cannot be known.
    OutcomeUnknown,
    /// The rest of a broken answer cannot be had any more.
    CannotResume,
    /// The answer named another adapter or version, or had a gap.
    WrongAnswer,
    /// The back end refused or failed.
    BackendFailed,
    /// A configuration change fails its checks.
    InvalidChange,
    /// A policy program does not compile or fails on the samples.
    InvalidPolicy,
    /// Another operator changed the object first.
    Conflict,
    /// The key-value service cannot be reached; the change was not made.
    PlatformUnavailable,
    /// Whether the change was made cannot be known yet; ask for its change id.
    ChangeUnknown,
}

impl ErrorCode {
    /// The HTTP status that goes with the code.
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
