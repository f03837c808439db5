//! `tinbay report`.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};

use crate::error::CliError;
use crate::options::{CommonOptions, LogSource, ReportOptions};
use crate::request_report::{Analysis, Report, to_text};

/// Prints a summary of logs of boxes. If a log cannot be read to its end, the rest is still shown.
///
/// # Errors
/// Returns [`CliError::UnreadableLogs`] if a log cannot be read to its end and
/// [`CliError::NoRequests`] if the logs contain no finished request.
pub fn run(common: &CommonOptions, options: &ReportOptions) -> Result<(), CliError> {
    let mut analysis = Analysis::new(options.max_steps)?;
    let errors = read_logs(&mut analysis, &options.logs);
    let report = analysis.report();
    print(common, options, &report)?;
    if !errors.is_empty() {
        return Err(CliError::UnreadableLogs(errors));
    }
    match report.lines.requests {
        0 => Err(CliError::NoRequests {
            lines: report.lines.lines,
        }),
        _ => Ok(()),
    }
}

fn read_logs(analysis: &mut Analysis, logs: &[LogSource]) -> Vec<CliError> {
    let mut errors = Vec::new();
    for log in logs {
        if let Err(source) = read_log(analysis, log) {
            errors.push(CliError::File {
                path: log.to_string(),
                source,
            });
        }
    }
    errors
}

fn read_log(analysis: &mut Analysis, log: &LogSource) -> io::Result<()> {
    let reader: Box<dyn BufRead> = match log {
        LogSource::StandardInput => Box::new(io::stdin().lock()),
        LogSource::File(path) => Box::new(BufReader::new(File::open(path)?)),
    };
    analysis.read_log(&log.to_string(), reader)
}

fn print(common: &CommonOptions, options: &ReportOptions, report: &Report) -> Result<(), CliError> {
    let text = if common.json {
        let mut text = serde_json::to_string_pretty(report)?;
        text.push('\n');
        text
    } else {
        to_text(report, options.worst)
    };
    match io::stdout().write_all(text.as_bytes()) {
        // The reader, such as `head`, has closed the pipe, which is no failure.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => Ok(result.map_err(serde_json::Error::io)?),
    }
}
