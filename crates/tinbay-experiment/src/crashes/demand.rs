//! Generates the requests: their boxes, servers and prompt parts.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Zipf};
use tinbay_core::serving::prompt::PartId;

use super::CrashParameters;

/// Zipf exponent of accounts and sessions: a few are large.
const SKEW: f64 = 1.0;

/// Shortest and longest time from the start of a request to the first piece of its answer, in ms.
const FIRST_PIECE_MS: std::ops::Range<u64> = 20..400;

/// Shortest and longest time from then to the end of the answer, in ms.
const WRITING_MS: std::ops::Range<u64> = 300..3_000;

/// Ids of the first parts of accounts start here.
const FIRST_PART_IDS: u64 = 1 << 32;

/// Id of the part that crashes servers.
pub const CRASHING_PART: PartId = PartId(0xbad);

/// A request that is sent to a server.
#[derive(Debug, Clone)]
pub struct Request {
    /// Number of the request.
    pub number: u64,
    /// Box that sends it.
    pub box_index: usize,
    /// Server that runs it.
    pub server: usize,
    /// Shared parts of its prompt.
    pub parts: Vec<PartId>,
    /// Time to the first piece of its answer.
    pub first_piece_after_ms: u64,
    /// Time to the end of its answer.
    pub end_after_ms: u64,
}

/// Generator of requests.
pub struct Demand {
    random: SmallRng,
    accounts: Zipf<f64>,
    sessions: Zipf<f64>,
    terms: CrashParameters,
    accrued: f64,
    accrued_crashing: f64,
    count: u64,
}

impl Demand {
    /// Creates the generator for a run.
    ///
    /// # Errors
    /// Returns an error if there are no accounts or no sessions.
    pub fn new(terms: &CrashParameters) -> Result<Self, rand_distr::ZipfError> {
        Ok(Self {
            random: SmallRng::seed_from_u64(terms.seed),
            accounts: Zipf::new(terms.accounts as f64, SKEW)?,
            sessions: Zipf::new(terms.sessions as f64, SKEW)?,
            terms: *terms,
            accrued: 0.0,
            accrued_crashing: 0.0,
            count: 0,
        })
    }

    /// Generates the sound requests of one millisecond. Each session belongs to one account.
    pub fn next_ms(&mut self) -> Vec<Request> {
        self.accrued += self.terms.requests_per_s / 1_000.0;
        let mut requests = Vec::new();
        while self.accrued >= 1.0 {
            self.accrued -= 1.0;
            let session = self.sessions.sample(&mut self.random) as u64;
            let account = self.accounts.sample(&mut self.random) as u64;
            let session = account * self.terms.sessions as u64 + session;
            let parts = vec![first_part(account), PartId(session << 33)];
            requests.push(self.request(parts));
        }
        requests
    }

    /// Generates the requests of one millisecond that crash servers; they are of the largest account.
    pub fn next_crashing_ms(&mut self) -> Vec<Request> {
        self.accrued_crashing += self.terms.crashing_per_s / 1_000.0;
        let mut requests = Vec::new();
        while self.accrued_crashing >= 1.0 {
            self.accrued_crashing -= 1.0;
            requests.push(self.request(vec![first_part(1), CRASHING_PART]));
        }
        requests
    }

    fn request(&mut self, parts: Vec<PartId>) -> Request {
        self.count += 1;
        let first_piece_after_ms = self.random.random_range(FIRST_PIECE_MS);
        Request {
            number: self.count,
            box_index: self.random.random_range(0..self.terms.boxes),
            server: self.random.random_range(0..self.terms.servers),
            parts,
            first_piece_after_ms,
            end_after_ms: first_piece_after_ms + self.random.random_range(WRITING_MS),
        }
    }

    /// Draws whether a message is lost.
    pub fn is_lost(&mut self) -> bool {
        self.random.random_bool(self.terms.lost.clamp(0.0, 1.0))
    }

    /// Draws an index below `count`.
    pub fn index(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }
}

fn first_part(account: u64) -> PartId {
    PartId(FIRST_PART_IDS + account)
}
