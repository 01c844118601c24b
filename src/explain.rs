//! Collects the steps of one request from the logs of several processes.

use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Reasons why a line of a log could not be read.
#[derive(Debug, Error)]
pub enum LogLineError {
    /// The line holds no JSON object.
    #[error("not a JSON object: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The time in `ts` is not in the format of RFC 3339.
    #[error("`ts` is not an RFC 3339 time: {0}")]
    InvalidTime(#[source] humantime::TimestampError),
}

/// One line of a log.
#[derive(Clone, Debug, Deserialize)]
struct LogLine {
    #[serde(rename = "ts")]
    time: String,
    #[serde(rename = "msg")]
    message: String,
    process: Option<String>,
    request: Option<String>,
    #[serde(flatten)]
    fields: BTreeMap<String, Value>,
}

/// A log line of the request: a decision that a process made about it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TraceStep {
    /// The time in the format of RFC 3339, as the process logged it.
    #[serde(rename = "ts")]
    pub time: String,
    #[serde(skip)]
    at: SystemTime,
    /// The name of the process; `None` if the line does not contain it.
    pub process: Option<String>,
    /// The message of the line.
    pub message: String,
    /// The other fields of the line: the inputs and the result of the decision.
    pub fields: BTreeMap<String, Value>,
}

/// The steps of one request. They are in order of time after [`with_cause`].
///
/// [`with_cause`]: RequestTrace::with_cause
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestTrace {
    /// The id of the request.
    pub request: String,
    /// The steps of the request.
    pub steps: Vec<TraceStep>,
    /// Why the request ended as it did; `None` if no line says how it ended.
    pub cause: Option<String>,
}

impl RequestTrace {
    /// Creates a trace without steps for the request with id `request`.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            ..Self::default()
        }
    }

    /// Reads a log line and adds it as a step if it belongs to the request. Empty
    /// lines are ignored, and so is text before the JSON object, such as the
    /// prefix of a log collector.
    pub fn read(&mut self, text: &str) -> Result<(), LogLineError> {
        if text.trim().is_empty() {
            return Ok(());
        }
        let object = text.find('{').map_or(text, |start| &text[start..]);
        let line: LogLine = serde_json::from_str(object).map_err(LogLineError::NotJson)?;
        let at = humantime::parse_rfc3339(&line.time).map_err(LogLineError::InvalidTime)?;
        if line.request.as_ref() == Some(&self.request) {
            self.steps.push(TraceStep {
                time: line.time,
                at,
                process: line.process,
                message: line.message,
                fields: line.fields,
            });
        }
        Ok(())
    }

    /// Sorts the steps by time and sets the cause of the end. A refusal takes
    /// precedence over an outcome, because it is more specific.
    pub fn with_cause(mut self) -> Self {
        self.steps.sort_by_key(|step| step.at);
        let refused = self.steps.iter().rev().find_map(TraceStep::refusal);
        let ended = || self.steps.iter().rev().find_map(TraceStep::end);
        self.cause = refused.or_else(ended);
        self
    }

    /// Formats the trace as text: one line for each step with its time since the
    /// first one, then the cause.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let start = self.steps.first().map(|step| step.at);
        for step in &self.steps {
            let since = start.and_then(|start| step.at.duration_since(start).ok());
            let since = since.unwrap_or(Duration::ZERO).as_secs_f64() * 1e3;
            let process = step.process.as_deref().unwrap_or("?");
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{since:>9.1} ms  {process}  {}{step}", step.message);
        }
        let cause = self.cause.as_deref();
        let cause = cause.unwrap_or("no line tells how it ended");
        let _ = writeln!(text, "{}: {cause}", self.request);
        text
    }
}

impl TraceStep {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns why no upstream answered the request, if this step is a refusal.
    fn refusal(&self) -> Option<String> {
        let messages = ["request refused", "request given up"];
        let code = self.text("code")?;
        messages.contains(&self.message.as_str()).then(|| {
            let cause = cause_of(code);
            cause.map_or_else(|| format!("ended with code {code}"), str::to_owned)
        })
    }

    /// Returns how the request ended, if this step has an outcome.
    fn end(&self) -> Option<String> {
        let outcome = self.text("outcome")?;
        Some(match (outcome, self.text("upstream")) {
            ("good", Some(upstream)) => format!("answered in time by {upstream}"),
            ("late", Some(upstream)) => format!("answered by {upstream} after its deadline"),
            ("failed", Some(upstream)) => format!("{upstream} answered with an error"),
            ("cancelled", _) => "its caller left".to_owned(),
            _ => format!("ended as {outcome}"),
        })
    }
}

impl fmt::Display for TraceStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in &self.fields {
            match (name.as_str(), value) {
                ("level", _) | (_, Value::Null) => {}
                (_, Value::String(text)) => write!(f, " {name}={text}")?,
                (_, other) => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

/// Returns the cause that an error code stands for; `None` for an unknown code.
fn cause_of(code: &str) -> Option<&'static str> {
    Some(match code {
        "missing-key" => "refused: it carried no key",
        "unknown-key" => "refused: no settings in force know its key",
        "no-route" => "refused: no route in force fits its host and path",
        "over-quota" => "refused: its organisation had used up its quota",
        "limited" => "refused: its organisation had as many requests as it may",
        "method-not-allowed" => "refused: its route does not take its method",
        "unknown-model" => "refused: no upstream has its model",
        "invalid-body" => "refused: its body could not be read",
        "invalid-header" => "refused: a header could not be read",
        "body-too-large" => "refused: its body was larger than allowed",
        "body-timeout" => "refused: its body did not come in time",
        "body-broken" => "refused: its body broke off",
        "key-mismatch" => "refused: its idempotency key belongs to another request",
        "key-running" => "refused: a request with its idempotency key is running",
        "key-ran" => "refused: a request with its idempotency key has run",
        "claims-unavailable" => "refused: idempotency keys could not be claimed",
        "claims-unsupported" => "refused: this site takes no idempotency keys",
        "unknown-outcome" => "failed: nobody knows whether it has run",
        "overloaded" => "refused: no upstream had room soon enough",
        "late" => "refused: it found no room within its patience, or could not end in time",
        "unavailable" => "refused: no upstream that could run it was there",
        "not-ready" => "refused: the entry had no settings yet",
        "stopping" => "refused: the entry was about to stop",
        "upstream-failed" => "failed: its upstream broke off, and no other was allowed",
        "timed-out" => "failed: the longest time of its route was over",
        _ => return None,
    })
}
