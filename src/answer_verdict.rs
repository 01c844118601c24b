//! Judges by its head whether an answer is the upstream's own answer to a request.
//!
//! A faulty upstream, or whatever listens at its address, can send bytes that have the form of
//! an answer. Where upstreams mark theirs, an answer without the marks counts as broken off,
//! whatever its status: it says neither that the request has run nor that it has not.

#[cfg(test)]
mod tests;

/// The request that an answer names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnsweredRequest {
    /// The one that was sent. Also holds if neither has an id.
    Sent,
    /// Another one.
    Other,
    /// None, although the request has an id.
    Unnamed,
}

/// What marks an answer as an upstream's own, as read from its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerMarks {
    /// The request that the answer names.
    pub request: AnsweredRequest,
    /// Whether the upstream has signed the answer.
    pub is_signed: bool,
    /// Whether the answer states that the request was not run.
    pub states_not_run: bool,
    /// Whether the body is encoded, which upstreams don't do.
    pub is_encoded: bool,
}

impl AnswerMarks {
    /// Returns whether the upstream has sent an answer with this status itself. Each answer to a
    /// request that has run has all marks. A refusal can come before the request was read, and
    /// has at least one.
    fn is_own(&self, status: u16) -> bool {
        let is_success = (200..300).contains(&status);
        match self.request {
            AnsweredRequest::Other => false,
            AnsweredRequest::Sent if is_success => self.is_signed && !self.is_encoded,
            AnsweredRequest::Sent => true,
            AnsweredRequest::Unnamed => !is_success && (self.is_signed || self.states_not_run),
        }
    }
}

/// Classification of an upstream's answer by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerVerdict {
    /// The answer to the request.
    Answer,
    /// The upstream is full; the request was not run.
    Full,
    /// An answer whose status tells callers that the request was not run, and whose upstream
    /// does not state so. The request may have run.
    DoubtfulRefusal,
    /// Another instance has this address; the request was not run.
    WrongInstance,
    /// The answer is for another request, or not the upstream's. The request may have run.
    Foreign,
}

impl AnswerVerdict {
    /// Judges an answer by its status and its marks; `None` if upstreams set none.
    pub fn new(status: u16, marks: Option<AnswerMarks>) -> Self {
        match (status, marks) {
            (_, None) => Self::Answer,
            (_, Some(marks)) if !marks.is_own(status) => Self::Foreign,
            (421, _) => Self::WrongInstance,
            (429 | 503, Some(marks)) if marks.states_not_run => Self::Full,
            (408 | 429 | 503, Some(marks)) if !marks.states_not_run => Self::DoubtfulRefusal,
            _ => Self::Answer,
        }
    }
}
