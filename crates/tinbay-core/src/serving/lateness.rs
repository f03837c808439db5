//! Classifies answers as on time or late, and by which part they were late.

use super::configuration::{Route, RouteKind};
use super::stream_timing::StreamTiming;
use crate::units::Millis;

/// The times within which an answer counts as on time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerObjective {
    /// Longest time from the arrival of the request to the part named by `counts_to`; none where
    /// any time is allowed.
    pub within_ms: Option<Millis>,
    /// Part of the answer to which `within_ms` applies.
    pub counts_to: ObjectivePart,
    /// Longest pause between two pieces; none where any pause is allowed.
    pub pause_ms: Option<Millis>,
}

/// The part of an answer to which its objective applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectivePart {
    /// The first piece, as for streams.
    FirstPiece,
    /// The end, as for answers that are not streamed.
    End,
}

impl AnswerObjective {
    /// The objective of answers on `route`; a time of 0 in the route means no bound.
    pub fn of_route(route: &Route) -> Self {
        let is_stream = route.kind == RouteKind::Streaming;
        let pause_ms = route.objective_gap_ms.filter(|_| is_stream);
        Self {
            within_ms: Some(route.objective_ms).filter(|within_ms| *within_ms > 0),
            counts_to: if is_stream {
                ObjectivePart::FirstPiece
            } else {
                ObjectivePart::End
            },
            pause_ms: pause_ms.filter(|pause_ms| *pause_ms > 0),
        }
    }
}

/// Times of the parts of a complete answer, from the arrival of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTimes {
    /// Time of the first piece; none where the answer has no body.
    pub first_piece_ms: Option<Millis>,
    /// Longest pause between two pieces.
    pub longest_pause_ms: Millis,
    /// Time of the end.
    pub end_ms: Millis,
}

impl AnswerTimes {
    /// The times of an answer to a request that arrived at `arrived_ms` and was answered completely
    /// by `ended_ms`.
    pub fn from_timing(timing: &StreamTiming, arrived_ms: Millis, ended_ms: Millis) -> Self {
        let first_ms = timing.first_ms();
        Self {
            first_piece_ms: first_ms.map(|first_ms| first_ms.saturating_sub(arrived_ms)),
            longest_pause_ms: timing.longest_pause_ms(),
            end_ms: ended_ms.saturating_sub(arrived_ms),
        }
    }
}

/// Whether a complete answer was late, and in which part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lateness {
    /// On time.
    InTime,
    /// The first piece came too late.
    FirstPiece,
    /// A pause between two pieces was too long.
    Pause,
    /// The first piece came too late, and a pause was too long.
    FirstPieceAndPause,
    /// The first piece came on time but the end did not, and the objective applies to the end.
    End,
}

impl Lateness {
    /// All variants.
    pub const ALL: [Self; 5] = [
        Self::InTime,
        Self::FirstPiece,
        Self::Pause,
        Self::FirstPieceAndPause,
        Self::End,
    ];

    /// Classifies a complete answer.
    pub fn judge(times: &AnswerTimes, objective: &AnswerObjective) -> Self {
        let is_over =
            |time_ms: Millis, allowed: Option<Millis>| allowed.is_some_and(|ms| time_ms > ms);
        // An answer without a body is treated as having its first piece at its end.
        let first_ms = times.first_piece_ms.unwrap_or(times.end_ms);
        let is_first_late = is_over(first_ms, objective.within_ms);
        let is_pause_long = is_over(times.longest_pause_ms, objective.pause_ms);
        let is_end_late = is_over(times.end_ms, objective.within_ms);
        let counts_to_end = objective.counts_to == ObjectivePart::End;
        match (is_first_late, is_pause_long) {
            (true, true) => Self::FirstPieceAndPause,
            (true, false) => Self::FirstPiece,
            (false, true) => Self::Pause,
            (false, false) if counts_to_end && is_end_late => Self::End,
            (false, false) => Self::InTime,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::FirstPiece => "late_first_piece",
            Self::Pause => "late_pause",
            Self::FirstPieceAndPause => "late_first_piece_and_pause",
            Self::End => "late_end",
        }
    }

    /// The variant that logs call `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|lateness| lateness.name() == name)
    }
}
