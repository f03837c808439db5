//! Engines whose owner is lost, and when the next owner is expected.
//!
//! A request for such an engine has not been refused by anyone: it waits for the next owner if it can
//! start in time there, and is told when to come back if it can't.

use std::collections::HashMap;

use crate::ids::EngineId;
use crate::units::Millis;
use crate::view::BoxRun;

/// Shortest wait that is expected of an engine without an owner.
const SHORTEST_WAIT_MS: Millis = 100;

/// Without a further sign for this long a vacancy is taken to have ended unseen.
const VACANCY_LIFE_MS: Millis = 10_000;

/// How a request found that an engine has no owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerLoss {
    /// The owner can't be reached; the others have yet to hold it to be dead.
    Unreachable,
    /// The box that should own the engine answers and does not own it yet, or no box should.
    TakingOver,
}

/// How long an engine is usually without an owner.
#[derive(Debug, Clone, Copy)]
pub struct VacancyTerms {
    /// From the loss of an owner until others hold it to be dead.
    pub detect_ms: Millis,
    /// From then until the next owner has taken over.
    pub take_over_ms: Millis,
}

impl VacancyTerms {
    fn usual_ms(&self, loss: OwnerLoss) -> Millis {
        match loss {
            OwnerLoss::Unreachable => self.detect_ms + self.take_over_ms,
            OwnerLoss::TakingOver => self.take_over_ms,
        }
    }
}

#[derive(Debug)]
struct Vacancy {
    /// The run that was asked as the owner; none where no box should own the engine.
    owner: Option<BoxRun>,
    loss: OwnerLoss,
    expected_ms: Millis,
    noted_ms: Millis,
}

impl Vacancy {
    fn is_of(&self, owner: Option<&BoxRun>, loss: OwnerLoss) -> bool {
        self.owner.as_ref() == owner && self.loss == loss
    }
}

/// The engines that one box found without an owner.
#[derive(Debug, Default)]
pub struct Vacancies {
    engines: HashMap<EngineId, Vacancy>,
}

impl Vacancies {
    /// Notes that a run of a box, asked as the owner of an engine, was found not to own it.
    ///
    /// A further loss, of another run or in another way, has a wait of its own.
    pub fn note_lost(
        &mut self,
        engine: &EngineId,
        owner: Option<&BoxRun>,
        loss: OwnerLoss,
        terms: &VacancyTerms,
        now_ms: Millis,
    ) {
        let known = self
            .engines
            .get_mut(engine)
            .filter(|vacancy| vacancy.is_of(owner, loss))
            .filter(|vacancy| now_ms < vacancy.noted_ms + VACANCY_LIFE_MS);
        if let Some(vacancy) = known {
            vacancy.noted_ms = now_ms;
            return;
        }
        let vacancy = Vacancy {
            owner: owner.cloned(),
            loss,
            expected_ms: now_ms + terms.usual_ms(loss),
            noted_ms: now_ms,
        };
        self.engines.insert(engine.clone(), vacancy);
    }

    /// Notes that an owner has answered for an engine.
    pub fn note_owned(&mut self, engine: &EngineId) {
        self.engines.remove(engine);
    }

    /// How long until an engine is expected to have an owner; 0 if it is not known to lack one.
    ///
    /// A vacancy that is overdue is expected to last as long again as it is overdue.
    pub fn wait_ms(&self, engine: &EngineId, now_ms: Millis) -> Millis {
        let Some(vacancy) = self.engines.get(engine) else {
            return 0;
        };
        vacancy.expected_ms.abs_diff(now_ms).max(SHORTEST_WAIT_MS)
    }
}
