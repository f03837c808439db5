//! The part of a request's line that tells where the time of its answer went.

use serde::Serialize;
use tinbay_core::serving::lateness::{AnswerObjective, AnswerTimes, Lateness};
use tinbay_core::serving::stream_timing::StreamTiming;
use tinbay_core::units::Millis;

use super::question::Question;
use crate::answer_metrics::MeasuredAnswer;

/// How an answer ended, as far as its times matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// A success that came whole.
    Served,
    /// Begun and cut.
    Cut,
    /// A failure, or an answer of our own.
    Other,
}

/// Where the time of an answer went; times count from the request's arrival.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct AnswerSight {
    kind: &'static str,
    /// Time within which the answer is in time.
    #[serde(skip_serializing_if = "Option::is_none")]
    objective_ms: Option<Millis>,
    /// Longest pause of a stream that is in time.
    #[serde(skip_serializing_if = "Option::is_none")]
    objective_gap_ms: Option<Millis>,
    /// Whether the answer was late, and by which part; none where it did not come whole.
    #[serde(skip_serializing_if = "Option::is_none")]
    lateness: Option<&'static str>,
    /// Time to the first piece of the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    first_piece_ms: Option<Millis>,
    /// Time from the last send until the first piece: a connection, the server, the way back.
    #[serde(skip_serializing_if = "Option::is_none")]
    at_server_ms: Option<Millis>,
    /// Time from the first piece to the last one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pauses_ms: Option<Millis>,
    /// Longest pause between two pieces, as they came from the server.
    #[serde(skip_serializing_if = "Option::is_none")]
    longest_pause_ms: Option<Millis>,
    /// Part of that pause in which the caller's side asked for nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    longest_pause_untaken_ms: Option<Millis>,
    /// Pieces that had come before that pause.
    #[serde(skip_serializing_if = "Option::is_none")]
    longest_pause_at: Option<u32>,
    /// Time in which the caller's side asked for nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    untaken_ms: Option<Millis>,
    /// Time without a piece before the answer was cut.
    #[serde(skip_serializing_if = "Option::is_none")]
    silence_ms: Option<Millis>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pieces: Option<u32>,
    #[serde(skip)]
    judged: Option<Lateness>,
}

impl AnswerSight {
    /// What the pieces of an answer that ended at `ended_ms` show.
    pub fn new(question: &Question, end: AnswerEnd, ended_ms: Millis) -> Self {
        let sight = question.sight.get();
        let stream = Some(sight).filter(|sight| sight.pieces() > 1);
        let objective = AnswerObjective::of_route(&question.route);
        let times = AnswerTimes::of_sight(&sight, question.arrived_ms, ended_ms);
        let judged = (end == AnswerEnd::Served).then(|| Lateness::judge(&times, &objective));
        let is_cut = end == AnswerEnd::Cut;
        Self {
            kind: question.kind(),
            objective_ms: objective.within_ms,
            objective_gap_ms: objective.pause_ms,
            lateness: judged.map(Lateness::name),
            first_piece_ms: times.first_piece_ms,
            at_server_ms: at_server_ms(question, &times),
            pauses_ms: stream.map(|sight| sight.pauses_ms()),
            longest_pause_ms: stream.map(|sight| sight.longest_pause_ms()),
            longest_pause_untaken_ms: stream.map(|sight| sight.longest_pause_untaken_ms()),
            longest_pause_at: stream.map(|sight| sight.longest_pause_at()),
            untaken_ms: untaken_ms(&sight, ended_ms),
            silence_ms: sight.silence_ms(ended_ms).filter(|_| is_cut),
            pieces: stream.map(|sight| sight.pieces()),
            judged,
        }
    }

    /// What is measured of the answer; nothing where it did not come whole.
    pub fn measured<'a>(&self, question: &'a Question) -> Option<MeasuredAnswer<'a>> {
        Some(MeasuredAnswer {
            kind: self.kind,
            service: &question.service,
            account: question.client_account().map(|account| &*account.name),
            first_piece_ms: self.first_piece_ms,
            longest_pause_ms: self.longest_pause_ms,
            untaken_ms: self.untaken_ms,
            lateness: self.judged?,
        })
    }
}

fn at_server_ms(question: &Question, times: &AnswerTimes) -> Option<Millis> {
    let sent = question.last_send.get()?;
    let first_piece_ms = times.first_piece_ms?;
    Some(first_piece_ms.saturating_sub(sent.after_ms))
}

fn untaken_ms(sight: &StreamTiming, ended_ms: Millis) -> Option<Millis> {
    sight.first_ms()?;
    Some(sight.untaken_ms(ended_ms))
}
