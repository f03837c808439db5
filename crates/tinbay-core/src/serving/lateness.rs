//! Whether an answer came in time, and if not, by which part of it.

use super::configuration::{Route, RouteKind};
use super::stream_sight::StreamSight;
use crate::units::Millis;

/// The times within which an answer is in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerObjective {
    /// Longest time from the request's arrival to the part that the objective counts to; none where
    /// any time is allowed.
    pub within_ms: Option<Millis>,
    /// That part.
    pub counts_to: ObjectivePart,
    /// Longest pause between two pieces; none where any pause is allowed.
    pub pause_ms: Option<Millis>,
}

/// The part of an answer up to which its objective counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectivePart {
    /// The first piece, as for streams.
    FirstPiece,
    /// The end, as for plain answers.
    End,
}

impl AnswerObjective {
    /// The objective of answers on `route`; a time of 0 is none.
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

/// When the parts of a whole answer came, from the request's arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTimes {
    /// Its first piece; none where it has no body.
    pub first_piece_ms: Option<Millis>,
    /// Longest pause between two pieces.
    pub longest_pause_ms: Millis,
    /// Its end.
    pub end_ms: Millis,
}

impl AnswerTimes {
    /// The times of an answer to a request that arrived at `arrived_ms` and ended at `ended_ms`.
    pub fn of_sight(sight: &StreamSight, arrived_ms: Millis, ended_ms: Millis) -> Self {
        let first_ms = sight.first_ms();
        Self {
            first_piece_ms: first_ms.map(|first_ms| first_ms.saturating_sub(arrived_ms)),
            longest_pause_ms: sight.longest_pause_ms(),
            end_ms: ended_ms.saturating_sub(arrived_ms),
        }
    }
}

/// Whether a whole answer was late, and by which part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lateness {
    /// In time.
    InTime,
    /// Its first piece came too late.
    FirstPiece,
    /// A pause between two pieces was too long.
    Pause,
    /// Its first piece came too late, and a pause was too long as well.
    FirstPieceAndPause,
    /// Its first piece came in time, its end did not, and its objective counts to the end.
    End,
}

impl Lateness {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::InTime,
        Self::FirstPiece,
        Self::Pause,
        Self::FirstPieceAndPause,
        Self::End,
    ];

    /// Decides how late a whole answer was.
    pub fn judge(times: &AnswerTimes, objective: &AnswerObjective) -> Self {
        let is_over =
            |time_ms: Millis, allowed: Option<Millis>| allowed.is_some_and(|ms| time_ms > ms);
        // An answer without a body is there with its end.
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

    /// Name for logs and measures.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::FirstPiece => "late_first_piece",
            Self::Pause => "late_pause",
            Self::FirstPieceAndPause => "late_first_piece_and_pause",
            Self::End => "late_end",
        }
    }

    /// The one that logs call `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|lateness| lateness.name() == name)
    }
}
