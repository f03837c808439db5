//! The simulation, in steps of one millisecond.

use std::collections::{HashMap, VecDeque};

use tinbay_core::limits::home::{DealTerms, LimitHome, UnitGrant, UnitRequest};
use tinbay_core::limits::share::{LimitShare, ShareTerms};
use tinbay_core::limits::terms::{self, Limit};

use super::demand::{self, Asked, Demand, HOT_ACCOUNT};
use super::measures::{LimitMeasures, Second, Window, allowed, in_window};
use super::{LimitStrategy, LimitTerms, MESSAGE_BYTES, MESSAGE_MS, OVERDRAFT_PART, SLACK};

/// A message between two boxes.
enum Message {
    Question { asked: Asked, ahead: f64 },
    Answer { asked: Asked, grant: UnitGrant },
}

struct Play<'a> {
    terms: &'a LimitTerms,
    limits: Vec<Limit>,
    shares: Vec<HashMap<usize, LimitShare>>,
    homes: HashMap<usize, LimitHome>,
    on_way: VecDeque<(u64, Message)>,
    messages: Vec<u64>,
    asked: HashMap<usize, Window>,
    admitted: HashMap<usize, Window>,
    measures: LimitMeasures,
}

/// Runs a simulation.
///
/// # Errors
/// Returns an error if there are no accounts.
pub fn play(
    terms: &LimitTerms,
    strategy: LimitStrategy,
) -> Result<LimitMeasures, rand_distr::ZipfError> {
    let mut demand = Demand::new(terms)?;
    let mut play = Play::new(terms);
    let third_ms = terms.seconds * 1_000 / 3;
    for now_ms in 0..terms.seconds * 1_000 {
        if now_ms == terms.seconds * 500 {
            play.kill(&mut demand);
        }
        play.deliver(now_ms);
        let is_hot = (third_ms..2 * third_ms).contains(&now_ms);
        for asked in demand.next_ms(is_hot) {
            play.ask(asked, strategy, now_ms);
        }
    }
    Ok(play.end())
}

impl<'a> Play<'a> {
    fn new(terms: &'a LimitTerms) -> Self {
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
            on_way: VecDeque::new(),
            messages: vec![0; terms.boxes],
            asked: HashMap::new(),
            admitted: HashMap::new(),
            measures,
        }
    }

    fn limit_terms(&self, account: usize) -> terms::LimitTerms {
        terms::LimitTerms::of_account(self.limits[account], SLACK * OVERDRAFT_PART)
    }

    /// The box that is the home of an account's limit.
    fn home_of(&self, account: usize) -> usize {
        account.wrapping_mul(0x9e37_79b9) % self.terms.boxes
    }

    /// Kills the given fraction of the boxes. They restart at once, without any state of limits.
    fn kill(&mut self, demand: &mut Demand) {
        for at in 0..self.terms.boxes {
            if !demand.draw(self.terms.killed) {
                continue;
            }
            self.shares[at].clear();
            let boxes = self.terms.boxes;
            self.homes
                .retain(|account, _| account.wrapping_mul(0x9e37_79b9) % boxes != at);
        }
    }

    fn share(&mut self, asked: Asked, now_ms: u64) -> &mut LimitShare {
        let shares = &mut self.shares[asked.at];
        shares
            .entry(asked.account)
            .or_insert_with(|| LimitShare::new(now_ms))
    }

    fn ask(&mut self, asked: Asked, strategy: LimitStrategy, now_ms: u64) {
        self.measures.requests += 1;
        if asked.account == HOT_ACCOUNT {
            self.measures.hot[(now_ms / 1_000) as usize].asked += asked.units;
        }
        let window = self.asked.entry(asked.account).or_default();
        window.add(asked.units, now_ms);
        if self.share(asked, now_ms).take_given(asked.units, now_ms) {
            return self.admit(asked, now_ms);
        }
        match strategy {
            LimitStrategy::Shares => self.ask_share(asked, now_ms),
            LimitStrategy::Homes => self.send_question(asked, now_ms),
        }
    }

    fn ask_share(&mut self, asked: Asked, now_ms: u64) {
        let terms = ShareTerms {
            limit_terms: self.limit_terms(asked.account),
            boxes: self.terms.boxes,
        };
        let taken = self
            .share(asked, now_ms)
            .take_share(terms, asked.units, now_ms);
        match taken {
            Ok(()) => self.admit(asked, now_ms),
            Err(_) => self.refuse(asked, now_ms),
        }
    }

    fn send_question(&mut self, asked: Asked, now_ms: u64) {
        let ahead = self.share(asked, now_ms).ahead(now_ms);
        self.send(asked, Message::Question { asked, ahead }, now_ms);
    }

    fn send(&mut self, asked: Asked, message: Message, now_ms: u64) {
        let home = self.home_of(asked.account);
        if home != asked.at {
            self.messages[home] += 1;
            self.messages[asked.at] += 1;
        }
        let arrives_ms = if home == asked.at {
            now_ms
        } else {
            now_ms + MESSAGE_MS
        };
        self.on_way.push_back((arrives_ms, message));
    }

    fn deliver(&mut self, now_ms: u64) {
        let due = std::mem::take(&mut self.on_way);
        for (arrives_ms, message) in due {
            if arrives_ms > now_ms {
                self.on_way.push_back((arrives_ms, message));
                continue;
            }
            match message {
                Message::Question { asked, ahead } => self.deal(asked, ahead, now_ms),
                Message::Answer { asked, grant } => self.take(asked, grant, now_ms),
            }
        }
    }

    fn deal(&mut self, asked: Asked, ahead: f64, now_ms: u64) {
        let request = UnitRequest {
            needed: asked.units,
            ahead,
        };
        let terms = DealTerms {
            limit_terms: self.limit_terms(asked.account),
            reached: 1.0,
            boxes: self.terms.boxes,
        };
        let home = self
            .homes
            .entry(asked.account)
            .or_insert_with(|| LimitHome::new(now_ms));
        let grant = home.deal(terms, request, now_ms);
        self.send(asked, Message::Answer { asked, grant }, now_ms);
    }

    fn take(&mut self, asked: Asked, grant: UnitGrant, now_ms: u64) {
        let share = self.share(asked, now_ms);
        share.note_given(grant.units, now_ms);
        if grant.room_in_ms.is_none() && share.take_given(asked.units, now_ms) {
            return self.admit(asked, now_ms);
        }
        self.refuse(asked, now_ms);
    }

    fn admit(&mut self, asked: Asked, now_ms: u64) {
        if asked.account == HOT_ACCOUNT {
            self.measures.hot[(now_ms / 1_000) as usize].admitted += asked.units;
        }
        let window = self.admitted.entry(asked.account).or_default();
        window.add(asked.units, now_ms);
    }

    fn refuse(&mut self, asked: Asked, now_ms: u64) {
        self.measures.refused += 1;
        let window = self.asked.entry(asked.account).or_default();
        if window.sum(now_ms) <= in_window(self.limits[asked.account]) {
            self.measures.refused_below += 1;
        }
    }

    fn end(mut self) -> LimitMeasures {
        for (account, window) in &self.admitted {
            let limit = self.limits[*account];
            let part = window.most() / in_window(limit);
            self.measures.most_of_limit = self.measures.most_of_limit.max(part);
            self.measures.accounts_over += usize::from(window.most() > allowed(limit));
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
