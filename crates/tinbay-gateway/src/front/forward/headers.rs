//! Headers of forwarded requests and their answers. They are removed before a request goes to a
//! server and before an answer goes to a caller.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use tinbay_core::units::Millis;

use crate::front::inbound::text;

/// Time since the request arrived at the forwarding box, in ms.
const AGE: HeaderName = HeaderName::from_static("tinbay-forwarded-age");

/// Name of the client account that the forwarding box determined.
const ACCOUNT: HeaderName = HeaderName::from_static("tinbay-forwarded-account");

/// What an answer of the other box means.
const RESULT: HeaderName = HeaderName::from_static("tinbay-forwarded-result");

/// What an answer of the other box means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A server's answer.
    FromServer,
    /// The box reaches no server either; another box may be asked.
    Declined,
    /// The box refused the request, which has not run.
    NotRun,
    /// There is no answer of a server, but one may have run the request.
    MayHaveRun,
}

const ANSWER_KINDS: [AnswerKind; 4] = [
    AnswerKind::FromServer,
    AnswerKind::Declined,
    AnswerKind::NotRun,
    AnswerKind::MayHaveRun,
];

impl AnswerKind {
    fn name(self) -> &'static str {
        match self {
            AnswerKind::FromServer => "server",
            AnswerKind::Declined => "declined",
            AnswerKind::NotRun => "not_run",
            AnswerKind::MayHaveRun => "may_have_run",
        }
    }
}

/// What the forwarding box says about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarded {
    /// Time since the request arrived there.
    pub age_ms: Millis,
    /// Name of the client account; none if the request needs no account.
    pub account: Option<String>,
}

impl Forwarded {
    /// Adds the headers of a forwarded request.
    pub fn write(&self, headers: &mut HeaderMap) {
        headers.insert(AGE, self.age_ms.into());
        headers.remove(ACCOUNT);
        let account = self.account.as_deref();
        if let Some(Ok(account)) = account.map(HeaderValue::from_str) {
            headers.insert(ACCOUNT, account);
        }
    }

    /// Takes the headers out of a forwarded request; `None` if it has none.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let age_ms = text(headers, &AGE)?.parse().ok()?;
        let account = text(headers, &ACCOUNT).map(str::to_string);
        headers.remove(AGE);
        headers.remove(ACCOUNT);
        Some(Self { age_ms, account })
    }
}

/// Adds the kind of an answer.
pub fn write_kind(headers: &mut HeaderMap, kind: AnswerKind) {
    headers.insert(RESULT, HeaderValue::from_static(kind.name()));
}

/// Takes the kind out of an answer; `None` if it has none.
pub fn take_kind(headers: &mut HeaderMap) -> Option<AnswerKind> {
    let value = headers.remove(RESULT)?;
    let is_named = |kind: &AnswerKind| value == kind.name();
    ANSWER_KINDS.into_iter().find(is_named)
}
