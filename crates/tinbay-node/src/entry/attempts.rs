//! Runs a request on one engine after another, within its deadline and the retry budget of its
//! class.

use std::sync::Arc;

use tinbay_core::assemble::{Assembler, Chunk};
use tinbay_core::ids::{EngineId, ModelRef};
use tinbay_core::retry::{AttemptEnd, AttemptEnds, NoRetry, RetryCase, check_retry};
use tinbay_core::units::Millis;
use tinbay_core::vacancy::OwnerLoss;
use tinbay_core::view::{BoxRecord, BoxRun};
use tokio::sync::watch;

use super::job::Job;
use super::stream::{AnswerStream, ChunkError, RunInfo};
use super::{local, remote, vacancy};
use crate::controllers::OWNERSHIP_PERIOD_MS;
use crate::filters::Failure;
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{lock, read};

/// Upper bound of the attempts of one request, including resumes.
const MAX_ATTEMPTS: u32 = 4;

/// How long an interrupted answer waits for the next owner of its engine.
pub const RESUME_TIMEOUT_MS: Millis = 15_000;

/// Expected wait reported to the router for a leaving engine, so that later requests try others
/// first.
const LEAVING_ENGINE_WAIT_MS: Millis = 600_000;

/// Why an attempt ended without an answer.
#[derive(Debug, Clone)]
pub struct AttemptError {
    /// Whether the request ran.
    pub end: AttemptEnd,
    /// The failure for the caller if there is no further attempt.
    pub failure: Failure,
    /// Set if no owner of the engine was reached, in which case the engine has not refused the
    /// request.
    pub owner_loss: Option<OwnerLoss>,
}

impl AttemptError {
    /// The request did not run.
    pub fn not_run(failure: Failure) -> Self {
        Self {
            end: AttemptEnd::NotRun,
            failure,
            owner_loss: None,
        }
    }

    /// The request did not run, as no owner of the engine was reached.
    pub fn owner_lost(loss: OwnerLoss) -> Self {
        let failure = Failure::NotOwner {
            retry_after_ms: OWNERSHIP_PERIOD_MS,
        };
        Self {
            owner_loss: Some(loss),
            ..Self::not_run(failure)
        }
    }

    /// The request may have run.
    pub fn unknown() -> Self {
        Self {
            end: AttemptEnd::Unknown,
            failure: Failure::OutcomeUnknown,
            owner_loss: None,
        }
    }
}

/// An attempt that was interrupted before its first chunk and whose run may continue at the engine.
struct Interrupted {
    engine: EngineId,
    /// The owner through which it was sent.
    owner: Option<BoxRun>,
    /// Deadline for finding the run and resuming it.
    resume_by_ms: Millis,
    /// Failed attempts to resume it that reached an owner.
    resumes: u32,
}

/// A request's answer, assembled from all its attempts.
pub struct Attempts {
    node: Arc<Node>,
    job: Job,
    assembler: Assembler,
    /// Number of the last attempt, which distinguishes its chunks from those of earlier ones.
    attempt_number: u32,
    /// Attempts that reached an owner and may have put load on an engine.
    counted_attempts: u32,
    /// Engines that have refused the request.
    refused: Vec<EngineId>,
    /// Engines found without an owner since the last wait for one.
    vacant: Vec<EngineId>,
    /// Number of waits for an owner so far.
    waits: u32,
    /// Notifies of changes of the view; kept from the first wait on, so that none is missed.
    changes: Option<watch::Receiver<u64>>,
    ends: AttemptEnds,
    /// The owner contacted last; `None` if the view had none.
    contacted: Option<BoxRun>,
    /// The attempt to resume; no other run may start until the engine is known not to have it.
    interrupted: Option<Interrupted>,
    /// Position at which the stream was last resumed.
    resumed_at: Option<u64>,
    stream: Option<AnswerStream>,
    info: Option<RunInfo>,
}

impl Attempts {
    /// Creates the state of a request that has not been attempted yet.
    pub fn new(node: &Arc<Node>, job: Job) -> Self {
        let position = job.resume_from.unwrap_or(0);
        let assembler = Assembler::new(job.name.clone(), job.model.clone(), position);
        Self {
            node: Arc::clone(node),
            job,
            assembler,
            attempt_number: 0,
            counted_attempts: 0,
            refused: Vec::new(),
            vacant: Vec::new(),
            waits: 0,
            changes: None,
            ends: AttemptEnds::default(),
            contacted: None,
            interrupted: None,
            resumed_at: None,
            stream: None,
            info: None,
        }
    }

    /// Where and how the request runs; `None` before the first chunk.
    pub fn info(&self) -> Option<&RunInfo> {
        self.info.as_ref()
    }

    /// Makes attempts until one returns the first chunk of the answer.
    ///
    /// # Errors
    /// The failure for the caller, when no further attempt is possible.
    pub async fn first_chunk(&mut self) -> Result<Chunk, Failure> {
        self.node.earn_retry(&self.job.class);
        loop {
            let engine = match &self.interrupted {
                Some(interrupted) => interrupted.engine.clone(),
                None => self.next_engine()?,
            };
            let error = match self.try_engine(&engine).await {
                Ok(chunk) => return Ok(chunk),
                Err(error) => error,
            };
            self.record_error(&engine, &error);
            if let Some(loss) = error.owner_loss {
                let handled = self.handle_owner_loss(&engine, loss).await;
                handled.map_err(|failure| self.final_failure(failure))?;
                continue;
            }
            if let Err(reason) = self.plan_next_attempt(engine, &error).await {
                self.log_last_attempt(&error, reason);
                return Err(self.final_failure(error.failure));
            }
        }
    }

    /// The next chunk; a broken stream is resumed at the position where it broke.
    ///
    /// # Errors
    /// The failure for the caller, when the stream cannot be resumed.
    pub async fn next_chunk(&mut self) -> Result<Chunk, Failure> {
        loop {
            let error = match &mut self.stream {
                Some(stream) => match stream.next(&mut self.assembler).await {
                    Ok(chunk) => return Ok(chunk),
                    Err(error) => error,
                },
                None => ChunkError::Broken,
            };
            self.stream = None;
            match error {
                ChunkError::Mismatch(error) => return Err(error.into()),
                ChunkError::Broken => self.resume().await?,
            }
        }
    }

    /// Reads an abandoned stream to its end.
    pub async fn drain(&mut self) {
        if let Some(stream) = &mut self.stream {
            stream.drain().await;
        }
    }

    /// Whether the last chunk of the answer has been returned.
    pub fn is_complete(&self) -> bool {
        self.assembler.is_complete()
    }

    /// The best engine that has not refused the request. Once all have, refusals are cleared and
    /// the best one is tried again.
    fn next_engine(&mut self) -> Result<EngineId, Failure> {
        let job = &self.job;
        let engines = ranked_engines(&self.node, &job.model, &job.base_model, job.urgent);
        let best = engines.first().cloned();
        let best = best.ok_or_else(|| Failure::NoEngine(job.base_model.clone()))?;
        let next = engines.into_iter().find(|e| !self.refused.contains(e));
        Ok(next.unwrap_or_else(|| {
            self.refused.clear();
            best
        }))
    }

    fn record_error(&mut self, engine: &EngineId, error: &AttemptError) {
        self.ends.record(error.end);
        if error.failure == Failure::EngineLeaves {
            self.record_expected_wait(engine, LEAVING_ENGINE_WAIT_MS);
        }
        log::debug!(
            target: part::ENTRY,
            "{} attempt {} on {engine} ended {:?}: {}",
            self.job.request_id, self.attempt_number, error.end, error.failure,
        );
        if let Some(loss) = error.owner_loss {
            log::debug!(
                target: part::ENTRY,
                "{} contacted run {:?} as the owner of {engine}: {loss:?}",
                self.job.request_id, self.contacted,
            );
        }
    }

    /// Continues with the next owner if the view names one already, or with another engine if that
    /// costs less than the expected wait for an owner. Otherwise waits for the next owner.
    async fn handle_owner_loss(
        &mut self,
        engine: &EngineId,
        loss: OwnerLoss,
    ) -> Result<(), Failure> {
        if self.has_next_owner(engine) {
            return Ok(());
        }
        let wait_ms = vacancy::record_owner_loss(&self.node, engine, self.contacted.as_ref(), loss);
        self.record_expected_wait(engine, wait_ms);
        if let Some(interrupted) = &self.interrupted {
            let resume_by_ms = interrupted.resume_by_ms;
            return self.await_owner(engine, resume_by_ms).await;
        }
        self.vacant.push(engine.clone());
        let next = self.next_engine()?;
        if !self.vacant.contains(&next) {
            return Ok(());
        }
        self.vacant.clear();
        let until_ms = self.job.start_by_ms;
        self.await_owner(&next, until_ms).await
    }

    /// Whether the view names another owner than the one contacted last, which can be contacted at
    /// once.
    fn has_next_owner(&self, engine: &EngineId) -> bool {
        owner_of(&self.node, engine).is_some_and(|owner| Some(owner.run()) != self.contacted)
    }

    async fn await_owner(&mut self, engine: &EngineId, until_ms: Millis) -> Result<(), Failure> {
        let node = &self.node;
        let changes = self
            .changes
            .get_or_insert_with(|| read(&node.members).changes());
        let waited = vacancy::await_owner(node, engine, changes, self.waits, until_ms).await;
        self.waits += 1;
        if let Err(failure) = &waited {
            log::info!(
                target: part::ENTRY,
                "{} {} stops waiting for an owner of {engine}, {} ms before its deadline: {failure}, the next one \
                 is expected in {} ms",
                self.job.request_id, self.job.model,
                until_ms.saturating_sub(node.clock.now_ms()),
                failure.retry_after_ms().unwrap_or_default(),
            );
        }
        waited
    }

    async fn try_engine(&mut self, engine: &EngineId) -> Result<Chunk, AttemptError> {
        let resume_from = match self.interrupted {
            Some(_) => Some(self.assembler.next_position()),
            None => self.job.resume_from,
        };
        let mut stream = self.open(engine, resume_from).await?;
        let chunk = stream
            .next(&mut self.assembler)
            .await
            .map_err(|error| match error {
                // The request to resume did not start a run.
                ChunkError::Broken if resume_from.is_some() => {
                    AttemptError::not_run(Failure::BackendFailed { not_run: true })
                }
                ChunkError::Broken => AttemptError::unknown(),
                ChunkError::Mismatch(error) => AttemptError {
                    end: AttemptEnd::Answered,
                    failure: error.into(),
                    owner_loss: None,
                },
            })?;
        if self.interrupted.take().is_some() {
            log::info!(target: part::ENTRY, "{} resumed its interrupted run on {engine}", self.job.request_id);
        }
        self.info = Some(stream.info.clone());
        self.stream = Some(stream);
        Ok(chunk)
    }

    /// Starts or resumes the run on an engine, directly or through the box that owns the engine.
    async fn open(
        &mut self,
        engine: &EngineId,
        resume_from: Option<u64>,
    ) -> Result<AnswerStream, AttemptError> {
        self.attempt_number += 1;
        self.assembler.start_attempt(self.attempt_number);
        let owner = owner_of(&self.node, engine);
        self.contacted = owner.as_ref().map(BoxRecord::run);
        let owner = owner.ok_or_else(|| AttemptError::owner_lost(OwnerLoss::TakingOver))?;
        let stream = if owner.id == *self.node.id() {
            local::run(
                &self.node,
                &self.job,
                engine,
                self.attempt_number,
                resume_from,
            )
            .await?
        } else {
            remote::run(
                &self.node,
                &self.job,
                engine,
                &owner,
                self.attempt_number,
                resume_from,
            )
            .await?
        };
        self.record_expected_wait(engine, stream.info.expected_wait_ms);
        if self.waits > 0 {
            lock(&self.node.vacancies).note_owned(engine);
        }
        Ok(stream)
    }

    async fn resume(&mut self) -> Result<(), Failure> {
        let Some(info) = self.info.clone() else {
            return Err(Failure::OutcomeUnknown);
        };
        let position = self.assembler.next_position();
        if self.resumed_at == Some(position) {
            vacancy::delay_resume(self.counted_attempts).await;
        }
        self.resumed_at = Some(position);
        let until_ms = self.node.clock.now_ms() + RESUME_TIMEOUT_MS;
        while self.counted_attempts < MAX_ATTEMPTS {
            let error = match self.open(&info.engine, Some(position)).await {
                Ok(stream) => {
                    log::info!(target: part::ENTRY, "{} resumed at position {position}", self.job.request_id);
                    self.counted_attempts += 1;
                    self.stream = Some(stream);
                    return Ok(());
                }
                Err(error) => error,
            };
            log::debug!(target: part::ENTRY, "{} could not be resumed: {}", self.job.request_id, error.failure);
            match error.owner_loss {
                Some(_) if self.has_next_owner(&info.engine) => {}
                Some(loss) => {
                    vacancy::record_owner_loss(
                        &self.node,
                        &info.engine,
                        self.contacted.as_ref(),
                        loss,
                    );
                    if self.await_owner(&info.engine, until_ms).await.is_err() {
                        break;
                    }
                }
                None if error.failure == Failure::CannotResume => break,
                None => self.counted_attempts += 1,
            }
        }
        log::info!(
            target: part::ENTRY,
            "{} could not be resumed at position {position} after {} of {MAX_ATTEMPTS} attempts",
            self.job.request_id, self.counted_attempts,
        );
        Err(self.without_rerun_hint(Failure::CannotResume))
    }

    /// Prepares the next attempt after one that reached an owner, or returns why there is none.
    ///
    /// Attempts to resume do not count against the retry budget, since they start no second run.
    async fn plan_next_attempt(
        &mut self,
        engine: EngineId,
        error: &AttemptError,
    ) -> Result<(), NoRetry> {
        if error.end == AttemptEnd::Answered {
            return Err(NoRetry::AnswerBegun);
        }
        let is_run_unknown = error.failure == Failure::CannotResume;
        if let Some(mut interrupted) = self.interrupted.take() {
            if is_run_unknown {
                return self.allow_second_run(&interrupted);
            }
            interrupted.resumes += 1;
            if interrupted.resumes >= MAX_ATTEMPTS {
                return Err(NoRetry::AttemptsUsed);
            }
            vacancy::delay_resume(interrupted.resumes - 1).await;
            self.interrupted = Some(interrupted);
            return Ok(());
        }
        self.counted_attempts += 1;
        if error.end == AttemptEnd::Unknown {
            self.interrupted = Some(Interrupted {
                engine,
                owner: self.contacted.clone(),
                resume_by_ms: self.node.clock.now_ms() + RESUME_TIMEOUT_MS,
                resumes: 0,
            });
            return Ok(());
        }
        self.check_retry(error.end)?;
        self.check_attempt_limit()?;
        let is_resume = self.job.resume_from.is_some();
        if is_run_unknown || !is_resume {
            self.refused.push(engine);
        }
        if is_resume {
            Ok(())
        } else {
            self.spend_retry()
        }
    }

    /// Allows another run of a request whose interrupted run the engine does not know.
    ///
    /// If the owner has changed since, neither the attempt nor the retry budget is charged: all
    /// requests that the former owner had not sent to the engine return at once, and for the engine
    /// this is their first run.
    fn allow_second_run(&mut self, interrupted: &Interrupted) -> Result<(), NoRetry> {
        self.check_retry(AttemptEnd::Unknown)?;
        if self.contacted != interrupted.owner {
            self.counted_attempts -= 1;
            return Ok(());
        }
        self.check_attempt_limit()?;
        self.spend_retry()
    }

    fn check_attempt_limit(&self) -> Result<(), NoRetry> {
        match self.counted_attempts < MAX_ATTEMPTS {
            true => Ok(()),
            false => Err(NoRetry::AttemptsUsed),
        }
    }

    fn check_retry(&self, end: AttemptEnd) -> Result<(), NoRetry> {
        check_retry(&RetryCase {
            end,
            repeatable: self.job.repeatable,
            answer_begun: false,
            now_ms: self.node.clock.now_ms(),
            deadline_ms: self.job.start_by_ms,
        })
    }

    fn spend_retry(&self) -> Result<(), NoRetry> {
        match self.node.spend_retry(&self.job.class) {
            true => Ok(()),
            false => Err(NoRetry::BudgetSpent),
        }
    }

    /// Logs which limit ended the attempts, and how close the request was to the others.
    fn log_last_attempt(&self, error: &AttemptError, reason: NoRetry) {
        let job = &self.job;
        let left_ms = job.start_by_ms.saturating_sub(self.node.clock.now_ms());
        log::info!(
            target: part::ENTRY,
            "{} {} is not retried: {reason}; attempt {} of {MAX_ATTEMPTS} ended {:?} ({}), {left_ms} ms \
             left to start, {:.1} retries left for class {}",
            job.request_id, job.model, self.counted_attempts, error.end, error.failure,
            self.node.retry_balance(&job.class), job.class,
        );
    }

    /// The failure for the caller after the last attempt. If an earlier attempt may have run, the
    /// outcome is unknown, unless the last one received an answer, which did not match the request.
    fn final_failure(&self, failure: Failure) -> Failure {
        let is_answer = matches!(failure, Failure::WrongAnswer(_));
        if is_answer || self.ends.are_all_not_run() {
            return self.without_rerun_hint(failure);
        }
        Failure::OutcomeUnknown
    }

    /// Replaces [`Failure::CannotResume`] for requests that must not run twice, since callers
    /// respond to it by requesting the whole answer again.
    fn without_rerun_hint(&self, failure: Failure) -> Failure {
        match failure {
            Failure::CannotResume if !self.job.repeatable => Failure::OutcomeUnknown,
            failure => failure,
        }
    }

    fn record_expected_wait(&self, engine: &EngineId, wait_ms: Millis) {
        let now_ms = self.node.clock.now_ms();
        let mut router = lock(self.node.router(&self.job.model));
        router.note_wait(engine, self.job.urgent, wait_ms, now_ms);
    }
}

/// The engines that can serve a model, in the order in which to try them.
pub fn ranked_engines(
    node: &Node,
    model: &ModelRef,
    base_model: &str,
    urgent: bool,
) -> Vec<EngineId> {
    let mut router = lock(node.router(model));
    router.sync(node.config.fleet_generation());
    let ranking = router.ranking(model, || {
        let engines = node.config.engines();
        engines
            .into_iter()
            .filter(|spec| spec.base_model == base_model && spec.region == node.options.region)
            .map(|spec| spec.name)
            .collect()
    });
    router.order(&ranking, urgent, node.clock.now_ms())
}

/// The box that owns an engine according to this box's view.
pub fn owner_of(node: &Node, engine: &EngineId) -> Option<BoxRecord> {
    let spec = node.config.engine(engine.as_str())?;
    let members = read(&node.members);
    members.owner_of(&spec).cloned()
}
