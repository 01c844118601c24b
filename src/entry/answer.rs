//! The entry's end of an answer on its way from an agent to the caller.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use capnp::Error;
use tokio::sync::mpsc::Sender;

use crate::almondramp_capnp::FailureCode;
use crate::almondramp_capnp::answer;
use crate::ticket::Work;
use crate::wire;
use crate::wire::Header;

/// A part of an answer, in order.
#[derive(Debug)]
pub enum Part {
    /// The status and headers.
    Head(u16, Vec<Header>),
    /// The next bytes of the body.
    Bytes(Bytes),
    /// All of the body has come.
    End(Work),
    /// The answer broke off.
    Failed(FailureCode),
}

/// How much of an answer has come; shared by the receivers of one request,
/// of which only the latest is in use.
#[derive(Default)]
pub struct Progress {
    /// Whether the head has come.
    pub headed: Cell<bool>,
    /// Bytes of the body that have come.
    pub offset: Cell<u64>,
    /// Counts the receivers; an earlier one refuses further parts.
    pub receiver: Cell<u64>,
}

/// Receives an answer from an agent and passes it on without gaps.
pub struct AnswerReceiver {
    parts: Sender<Part>,
    progress: Rc<Progress>,
    number: u64,
}

impl AnswerReceiver {
    /// A receiver in place of any earlier one of the same request.
    pub fn new(parts: Sender<Part>, progress: Rc<Progress>) -> Self {
        let number = progress.receiver.get() + 1;
        progress.receiver.set(number);
        Self {
            parts,
            progress,
            number,
        }
    }

    async fn pass(&self, part: Part) -> Result<(), Error> {
        let sent = self.parts.send(part).await;
        sent.map_err(|_| Error::failed("the caller has gone".to_owned()))
    }

    fn check_latest(&self) -> Result<(), Error> {
        if self.progress.receiver.get() == self.number {
            return Ok(());
        }
        Err(Error::failed("another receiver has taken over".to_owned()))
    }
}

impl answer::Server for AnswerReceiver {
    async fn head(
        self: Rc<Self>,
        params: answer::HeadParams,
        _results: answer::HeadResults,
    ) -> Result<(), Error> {
        self.check_latest()?;
        if self.progress.headed.replace(true) {
            return Ok(());
        }
        let params = params.get()?;
        let headers = wire::read_headers(params.get_headers()?)?;
        self.pass(Part::Head(params.get_status(), headers)).await
    }

    async fn chunk(
        self: Rc<Self>,
        params: answer::ChunkParams,
        _results: answer::ChunkResults,
    ) -> Result<(), Error> {
        self.check_latest()?;
        let params = params.get()?;
        let data = params.get_data()?;
        let have = self.progress.offset.get();
        let known = have.checked_sub(params.get_offset());
        let known = known.and_then(|n| usize::try_from(n).ok());
        let Some(known) = known else {
            return Err(Error::failed("a part of the answer is missing".to_owned()));
        };
        let Some(fresh) = data.get(known..).filter(|f| !f.is_empty()) else {
            return Ok(());
        };
        self.progress.offset.set(have + fresh.len() as u64);
        self.pass(Part::Bytes(Bytes::copy_from_slice(fresh))).await
    }

    async fn end(
        self: Rc<Self>,
        params: answer::EndParams,
        _results: answer::EndResults,
    ) -> Result<(), Error> {
        self.check_latest()?;
        let params = params.get()?;
        let work = wire::read_usage(params.get_usage()?);
        let whole = self.progress.headed.get() && params.get_total() == self.progress.offset.get();
        match whole {
            true => self.pass(Part::End(work)).await,
            false => self.pass(Part::Failed(FailureCode::AnswerLost)).await,
        }
    }

    async fn fail(
        self: Rc<Self>,
        params: answer::FailParams,
        _results: answer::FailResults,
    ) -> Result<(), Error> {
        self.check_latest()?;
        let code = params.get()?.get_code()?;
        self.pass(Part::Failed(code)).await
    }
}
