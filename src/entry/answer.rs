//! The entry's end of an answer on its way from an agent to the caller.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use capnp::Error;
use tokio::sync::mpsc::Permit;
use tokio::sync::mpsc::Sender;

use crate::almondramp_capnp::FailureCode;
use crate::almondramp_capnp::answer;
use crate::ticket::Work;
use crate::wire;
use crate::wire::Header;

#[cfg(test)]
mod tests;

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

    /// Waits for room for one part. Nothing may be noted as received before:
    /// a call that waits here ends without a trace when its connection does.
    async fn room(&self) -> Result<Permit<'_, Part>, Error> {
        let room = self.parts.reserve().await;
        let room = room.map_err(|_| Error::failed("the caller has gone".to_owned()))?;
        self.check_latest()?;
        Ok(room)
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
        let params = params.get()?;
        let headers = wire::read_headers(params.get_headers()?)?;
        let room = self.room().await?;
        if !self.progress.headed.replace(true) {
            room.send(Part::Head(params.get_status(), headers));
        }
        Ok(())
    }

    async fn chunk(
        self: Rc<Self>,
        params: answer::ChunkParams,
        _results: answer::ChunkResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let data = params.get_data()?;
        let room = self.room().await?;
        let have = self.progress.offset.get();
        let known = have.checked_sub(params.get_offset());
        let known = known.and_then(|n| usize::try_from(n).ok());
        let Some(known) = known else {
            return Err(Error::failed("a part of the answer is missing".to_owned()));
        };
        if let Some(fresh) = data.get(known..).filter(|f| !f.is_empty()) {
            self.progress.offset.set(have + fresh.len() as u64);
            room.send(Part::Bytes(Bytes::copy_from_slice(fresh)));
        }
        Ok(())
    }

    async fn end(
        self: Rc<Self>,
        params: answer::EndParams,
        _results: answer::EndResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let work = wire::read_usage(params.get_usage()?);
        let room = self.room().await?;
        let whole = self.progress.headed.get() && params.get_total() == self.progress.offset.get();
        room.send(match whole {
            true => Part::End(work),
            false => Part::Failed(FailureCode::AnswerLost),
        });
        Ok(())
    }

    async fn fail(
        self: Rc<Self>,
        params: answer::FailParams,
        _results: answer::FailResults,
    ) -> Result<(), Error> {
        let code = params.get()?.get_code()?;
        let room = self.room().await?;
        room.send(Part::Failed(code));
        Ok(())
    }
}
