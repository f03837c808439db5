//! Timing of an answer, as written to the request log.

use serde::Serialize;
use tinbay_core::serving::lateness::{AnswerObjective, AnswerTimes, Lateness};
use tinbay_core::serving::stream_timing::StreamTiming;
use tinbay_core::units::Millis;

use super::inbound::InboundRequest;
use crate::answer_metrics::MeasuredAnswer;

/// How an answer ended, as far as its timing is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// Successful and complete.
    Served,
    /// Cut off after it began.
    Cut,
    /// A server's error response, or a response that this box generated.
    Other,
}

/// Breakdown of the time of an answer. Times are relative to the request's arrival.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct AnswerTiming {
    kind: &'static str,
    /// Latency objective for the first chunk, or for the whole answer if it isn't a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    objective_ms: Option<Millis>,
    /// Objective for the longest pause of a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    objective_gap_ms: Option<Millis>,
    /// Which objective the answer missed, if any; absent if the answer was incomplete.
    #[serde(skip_serializing_if = "Option::is_none")]
    lateness: Option<&'static str>,
    /// Time to the first chunk of the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    first_piece_ms: Option<Millis>,
    /// Time from the last send to the first chunk: connecting, the server, the network.
    #[serde(skip_serializing_if = "Option::is_none")]
    at_server_ms: Option<Millis>,
    /// Time from the first chunk to the last.
    #[serde(skip_serializing_if = "Option::is_none")]
    pauses_ms: Option<Millis>,
    /// Longest pause between two chunks, as received from the server.
    #[serde(skip_serializing_if = "Option::is_none")]
    longest_pause_ms: Option<Millis>,
    /// Part of that pause during which the caller's side did not poll for data.
    #[serde(skip_serializing_if = "Option::is_none")]
    longest_pause_untaken_ms: Option<Millis>,
    /// Number of chunks received before that pause.
    #[serde(skip_serializing_if = "Option::is_none")]
    longest_pause_at: Option<u32>,
    /// Total time during which the caller's side did not poll for data.
    #[serde(skip_serializing_if = "Option::is_none")]
    untaken_ms: Option<Millis>,
    /// Time since the last chunk when the answer was cut off.
    #[serde(skip_serializing_if = "Option::is_none")]
    silence_ms: Option<Millis>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pieces: Option<u32>,
    #[serde(skip)]
    judged: Option<Lateness>,
}

impl AnswerTiming {
    /// Evaluates the chunk times of an answer that ended at `ended_ms`.
    pub fn new(inbound: &InboundRequest, end: AnswerEnd, ended_ms: Millis) -> Self {
        let stream_timing = inbound.stream_timing.get();
        let stream = Some(stream_timing).filter(|stream_timing| stream_timing.pieces() > 1);
        let objective = AnswerObjective::of_route(&inbound.route);
        let times = AnswerTimes::from_timing(&stream_timing, inbound.arrived_ms, ended_ms);
        let judged = (end == AnswerEnd::Served).then(|| Lateness::judge(&times, &objective));
        let is_cut = end == AnswerEnd::Cut;
        Self {
            kind: inbound.kind(),
            objective_ms: objective.within_ms,
            objective_gap_ms: objective.pause_ms,
            lateness: judged.map(Lateness::name),
            first_piece_ms: times.first_piece_ms,
            at_server_ms: at_server_ms(inbound, &times),
            pauses_ms: stream.map(|stream_timing| stream_timing.pauses_ms()),
            longest_pause_ms: stream.map(|stream_timing| stream_timing.longest_pause_ms()),
            longest_pause_untaken_ms: stream
                .map(|stream_timing| stream_timing.longest_pause_untaken_ms()),
            longest_pause_at: stream.map(|stream_timing| stream_timing.longest_pause_at()),
            untaken_ms: untaken_ms(&stream_timing, ended_ms),
            silence_ms: stream_timing.silence_ms(ended_ms).filter(|_| is_cut),
            pieces: stream.map(|stream_timing| stream_timing.pieces()),
            judged,
        }
    }

    /// The values for the answer metrics; `None` for an incomplete answer.
    pub fn measured<'a>(&self, inbound: &'a InboundRequest) -> Option<MeasuredAnswer<'a>> {
        Some(MeasuredAnswer {
            kind: self.kind,
            service: &inbound.service,
            account: inbound.client_account().map(|account| &*account.name),
            first_piece_ms: self.first_piece_ms,
            longest_pause_ms: self.longest_pause_ms,
            untaken_ms: self.untaken_ms,
            lateness: self.judged?,
        })
    }
}

fn at_server_ms(inbound: &InboundRequest, times: &AnswerTimes) -> Option<Millis> {
    let sent = inbound.last_send.get()?;
    let first_piece_ms = times.first_piece_ms?;
    Some(first_piece_ms.saturating_sub(sent.after_ms))
}

fn untaken_ms(stream_timing: &StreamTiming, ended_ms: Millis) -> Option<Millis> {
    stream_timing.first_ms()?;
    Some(stream_timing.untaken_ms(ended_ms))
}
