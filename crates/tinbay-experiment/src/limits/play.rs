//! The simulation, in steps of one millisecond.

use std::collections::{HashMap, VecDeque};

use tinbay_core::limits::home::{DealTerms, LimitHome, UnitGrant, UnitRequest};
use tinbay_core::limits::share::{LimitShare, ShareTerms};
use tinbay_core::limits::terms::{self, Limit};

use super::demand::{self, Demand, HOT_ACCOUNT, Request};
use super::measures::{LimitMeasures, Second, Window, max_units_per_window, units_per_window};
use super::{
    LimitStrategy, MESSAGE_BYTES, MESSAGE_DELAY_MS, OVERDRAFT_FRACTION, OVERSHOOT_UNITS,
    SimulationParameters,
};

/// A message between two boxes.
enum Message {
    UnitRequest { request: Request, ahead: f64 },
    UnitGrant { request: Request, grant: UnitGrant },
}

struct Simulation<'a> {
    terms: &'a SimulationParameters,
    limits: Vec<Limit>,
    shares: Vec<HashMap<usize, LimitShare>>,
    homes: HashMap<usize, LimitHome>,
    in_flight: VecDeque<(u64, Message)>,
    messages: Vec<u64>,
    requested: HashMap<usize, Window>,
    admitted: HashMap<usize, Window>,
    measures: LimitMeasures,
}

/// Runs a simulation.
///
/// # Errors
/// Returns an error if there are no accounts.
pub fn simulate(
    terms: &SimulationParameters,
    strategy: LimitStrategy,
) -> Result<LimitMeasures, rand_distr::ZipfError> {
    let mut demand = Demand::new(terms)?;
    let mut simulation = Simulation::new(terms);
    let third_ms = terms.seconds * 1_000 / 3;
    for now_ms in 0..terms.seconds * 1_000 {
        if now_ms == terms.seconds * 500 {
            simulation.restart_killed_boxes(&mut demand);
        }
        simulation.deliver(now_ms);
        let is_hot = (third_ms..2 * third_ms).contains(&now_ms);
        for request in demand.next_ms(is_hot) {
            simulation.handle_request(request, strategy, now_ms);
        }
    }
    Ok(simulation.end())
}

impl<'a> Simulation<'a> {
    fn new(terms: &'a SimulationParameters) -> Self {
        let limits = demand::limits(terms);
        let measures = LimitMeasures {
            hot_limit_per_s: limits[HOT_ACCOUNT.min(limits.len() - 1)].per_s,
            hot: vec![Second::default(); terms.seconds as usize],
            ..LimitMeasures::default()
        };
        Self {
            terms,
            limits,
            shares: (0..terms.boxes).map(|_| HashMap::new()).collect(),
            homes: HashMap::new(),
            in_flight: VecDeque::new(),
            messages: vec![0; terms.boxes],
            requested: HashMap::new(),
            admitted: HashMap::new(),
            measures,
        }
    }

    fn limit_terms(&self, account: usize) -> terms::LimitTerms {
        terms::LimitTerms::of_account(self.limits[account], OVERSHOOT_UNITS * OVERDRAFT_FRACTION)
    }

    /// The box that is the home of an account's limit.
    fn home_of(&self, account: usize) -> usize {
        account.wrapping_mul(0x9e37_79b9) % self.terms.boxes
    }

    /// Kills the given fraction of the boxes. They restart at once, without any state of limits.
    fn restart_killed_boxes(&mut self, demand: &mut Demand) {
        for box_index in 0..self.terms.boxes {
            if !demand.draw(self.terms.killed) {
                continue;
            }
            self.shares[box_index].clear();
            let boxes = self.terms.boxes;
            self.homes
                .retain(|account, _| account.wrapping_mul(0x9e37_79b9) % boxes != box_index);
        }
    }

    fn share(&mut self, request: Request, now_ms: u64) -> &mut LimitShare {
        let shares = &mut self.shares[request.box_index];
        shares
            .entry(request.account)
            .or_insert_with(|| LimitShare::new(now_ms))
    }

    fn handle_request(&mut self, request: Request, strategy: LimitStrategy, now_ms: u64) {
        self.measures.requests += 1;
        if request.account == HOT_ACCOUNT {
            self.measures.hot[(now_ms / 1_000) as usize].asked += request.units;
        }
        let window = self.requested.entry(request.account).or_default();
        window.add(request.units, now_ms);
        if self
            .share(request, now_ms)
            .take_given(request.units, now_ms)
        {
            return self.admit(request, now_ms);
        }
        match strategy {
            LimitStrategy::Shares => self.take_from_share(request, now_ms),
            LimitStrategy::Homes => self.request_units(request, now_ms),
        }
    }

    fn take_from_share(&mut self, request: Request, now_ms: u64) {
        let terms = ShareTerms {
            limit_terms: self.limit_terms(request.account),
            boxes: self.terms.boxes,
        };
        let taken = self
            .share(request, now_ms)
            .take_share(terms, request.units, now_ms);
        match taken {
            Ok(()) => self.admit(request, now_ms),
            Err(_) => self.refuse(request, now_ms),
        }
    }

    fn request_units(&mut self, request: Request, now_ms: u64) {
        let ahead = self.share(request, now_ms).ahead(now_ms);
        self.send(request, Message::UnitRequest { request, ahead }, now_ms);
    }

    fn send(&mut self, request: Request, message: Message, now_ms: u64) {
        let home = self.home_of(request.account);
        if home != request.box_index {
            self.messages[home] += 1;
            self.messages[request.box_index] += 1;
        }
        let arrives_ms = if home == request.box_index {
            now_ms
        } else {
            now_ms + MESSAGE_DELAY_MS
        };
        self.in_flight.push_back((arrives_ms, message));
    }

    fn deliver(&mut self, now_ms: u64) {
        let due = std::mem::take(&mut self.in_flight);
        for (arrives_ms, message) in due {
            if arrives_ms > now_ms {
                self.in_flight.push_back((arrives_ms, message));
                continue;
            }
            match message {
                Message::UnitRequest { request, ahead } => self.grant_units(request, ahead, now_ms),
                Message::UnitGrant { request, grant } => self.handle_grant(request, grant, now_ms),
            }
        }
    }

    fn grant_units(&mut self, request: Request, ahead: f64, now_ms: u64) {
        let unit_request = UnitRequest {
            needed: request.units,
            ahead,
        };
        let terms = DealTerms {
            limit_terms: self.limit_terms(request.account),
            reached: 1.0,
            boxes: self.terms.boxes,
        };
        let home = self
            .homes
            .entry(request.account)
            .or_insert_with(|| LimitHome::new(now_ms));
        let grant = home.deal(terms, unit_request, now_ms);
        self.send(request, Message::UnitGrant { request, grant }, now_ms);
    }

    fn handle_grant(&mut self, request: Request, grant: UnitGrant, now_ms: u64) {
        let share = self.share(request, now_ms);
        share.note_given(grant.units, now_ms);
        if grant.retry_after_ms.is_none() && share.take_given(request.units, now_ms) {
            return self.admit(request, now_ms);
        }
        self.refuse(request, now_ms);
    }

    fn admit(&mut self, request: Request, now_ms: u64) {
        if request.account == HOT_ACCOUNT {
            self.measures.hot[(now_ms / 1_000) as usize].admitted += request.units;
        }
        let window = self.admitted.entry(request.account).or_default();
        window.add(request.units, now_ms);
    }

    fn refuse(&mut self, request: Request, now_ms: u64) {
        self.measures.refused += 1;
        let window = self.requested.entry(request.account).or_default();
        if window.sum(now_ms) <= units_per_window(self.limits[request.account]) {
            self.measures.refused_below += 1;
        }
    }

    fn end(mut self) -> LimitMeasures {
        for (account, window) in &self.admitted {
            let limit = self.limits[*account];
            let ratio = window.most() / units_per_window(limit);
            self.measures.most_of_limit = self.measures.most_of_limit.max(ratio);
            self.measures.accounts_over += usize::from(window.most() > max_units_per_window(limit));
        }
        let seconds = self.terms.seconds as f64;
        let per_s = |count: u64| count as f64 / seconds;
        let all: u64 = self.messages.iter().sum();
        let busiest = self.messages.iter().copied().max().unwrap_or_default();
        let boxes = self.terms.boxes as f64;
        self.measures.messages_per_s = per_s(all) / boxes;
        self.measures.bytes_per_s = per_s(all * MESSAGE_BYTES) / boxes;
        self.measures.busiest_bytes_per_s = per_s(busiest * MESSAGE_BYTES);
        let kept: usize = self.shares.iter().map(HashMap::len).sum();
        self.measures.accounts_a_box = kept as f64 / boxes;
        self.measures
    }
}
