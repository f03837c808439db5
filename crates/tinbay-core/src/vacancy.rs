//! Engines without an owner, and when the next owner is expected.
//!
//! A request for such an engine waits for the next owner if it can still start in time there, and
//! is otherwise answered with a retry time.

use std::collections::HashMap;

use crate::ids::EngineId;
use crate::units::Millis;
use crate::view::BoxRun;

/// Minimum of the expected wait for an engine without an owner.
const MIN_WAIT_MS: Millis = 100;

/// A vacancy that was not observed again for this long is considered over.
const VACANCY_LIFE_MS: Millis = 10_000;

/// How the loss of an owner was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerLoss {
    /// The owner can't be reached and has not been declared dead yet.
    Unreachable,
    /// The designated owner answers and does not own the engine yet, or there is no designated
    /// owner.
    TakingOver,
}

/// Expected duration of the phases of a vacancy.
#[derive(Debug, Clone, Copy)]
pub struct VacancyTerms {
    /// From the loss of an owner until it is declared dead.
    pub detect_ms: Millis,
    /// From then until the next owner has taken over.
    pub take_over_ms: Millis,
}

impl VacancyTerms {
    fn expected_ms(&self, loss: OwnerLoss) -> Millis {
        match loss {
            OwnerLoss::Unreachable => self.detect_ms + self.take_over_ms,
            OwnerLoss::TakingOver => self.take_over_ms,
        }
    }
}

#[derive(Debug)]
struct Vacancy {
    /// The run that was expected to be the owner; absent if there is no designated owner.
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

/// The engines that this box observed to be without an owner.
#[derive(Debug, Default)]
pub struct Vacancies {
    engines: HashMap<EngineId, Vacancy>,
}

impl Vacancies {
    /// Records that an engine has no owner, where `owner` is the run that was expected to own it.
    ///
    /// The first observation determines the expected wait. A loss of another run, or one observed
    /// in another way, is a new vacancy.
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
            expected_ms: now_ms + terms.expected_ms(loss),
            noted_ms: now_ms,
        };
        self.engines.insert(engine.clone(), vacancy);
    }

    /// Records that the owner of an engine has answered.
    pub fn note_owned(&mut self, engine: &EngineId) {
        self.engines.remove(engine);
    }

    /// Expected time until an engine has an owner; 0 if it is not known to lack one.
    ///
    /// An overdue vacancy is expected to last for as long as it is overdue already.
    pub fn wait_ms(&self, engine: &EngineId, now_ms: Millis) -> Millis {
        let Some(vacancy) = self.engines.get(engine) else {
            return 0;
        };
        vacancy.expected_ms.abs_diff(now_ms).max(MIN_WAIT_MS)
    }
}
