//! Implementations of the commands, one module each.

mod apply;
mod audit;
mod completions;
mod crashes;
mod delete;
mod demo;
mod diff;
mod drain;
mod experiment;
mod get;
mod limits;
pub mod load;
mod locate;
mod policy;
mod report;
mod scenario;
mod standin;
mod status;

pub use apply::apply_objects;

use crate::error::CliError;
use crate::options::{Action, CommonOptions, Options};
use crate::util::worker::Worker;

/// Runs a command.
///
/// # Errors
/// Returns a [`CliError`], which determines the exit code.
pub fn run(options: &Options) -> Result<(), CliError> {
    let common = &options.common;
    match &options.action {
        Action::Apply(apply) => apply::run(common, apply),
        Action::Get { kind, name } => get::run(common, *kind, name.as_deref()),
        Action::Diff { file } => diff::run(common, file),
        Action::Delete(delete) => delete::run(common, delete),
        Action::PolicyCheck { file } => policy::check(common, file),
        Action::PolicyTry { file } => policy::try_on_box(common, file),
        Action::Status => status::run(common),
        Action::Drain { id } => drain::run(common, id),
        Action::Audit { change } => audit::run(common, change.as_deref()),
        Action::Locate { model } => locate::run(common, model.as_ref()),
        Action::Completions { shell } => {
            completions::run(*shell);
            Ok(())
        }
        Action::Load(load) => load::run(common, load),
        Action::Demo { stay } => demo::run(common, *stay),
        Action::Standin(standin) => standin::run(standin),
        Action::Experiment(experiment) => experiment::run(common, experiment),
        Action::Crashes(terms) => crashes::run(common, terms),
        Action::Limits(limits) => limits::run(common, limits),
        Action::Report(report) => report::run(common, report),
        Action::Scenario {
            files,
            seed,
            log_dir,
        } => scenario::run(common, files, *seed, log_dir.as_deref()),
    }
}

/// Runs asynchronous work on a worker thread and waits for its result.
fn block_on<F, W, T>(work: F) -> Result<T, CliError>
where
    F: FnOnce() -> W + Send + 'static,
    W: Future<Output = Result<T, CliError>> + 'static,
    T: Send + 'static,
{
    let thread_ended = || CliError::Start(std::io::Error::other("the worker thread ended"));
    Worker::start().run(work).ok_or_else(thread_ended)?
}

/// Creates a client of the boxes given in the options.
fn api(common: &CommonOptions) -> crate::api::Api {
    crate::api::Api::new(common)
}
