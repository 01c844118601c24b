//! Detection of events that an upstream has left out before the rest of a stream.
//!
//! The ids of a stream may count its events or their tokens. Upstreams of one service may put
//! different numbers of tokens into an event, also within one stream. A first event that is
//! further away than the usual step of the ids before is therefore no proof of a gap; the
//! steps after it tell more. The following can't be told apart:
//!
//! - A rest with another step that ends, or keeps the usual step, before it has shown one that
//!   differs, and one that lacks events. It counts as a gap.
//! - A rest that lacks events in several places, or whose steps vary, and one with larger
//!   steps. It counts as in order.
//! - A rest that lacks events after a stream whose steps vary or are not known. It counts as
//!   in order.

/// The number of usual steps in a rest that confirm the gap before it. Upstreams of which the
/// steps vary may have some equal ones in a row.
const CONFIRMING_STEPS: u8 = 3;

/// What is known of a possible gap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The next events must tell.
    Open,
    /// The upstream has other steps, so that nothing shows a gap.
    InOrder,
    /// Events were left out, or the ids don't increase.
    Gap,
}

/// Checks a rest that begins further from the last event than the usual step.
#[derive(Clone, Copy, Debug)]
pub struct GapCheck {
    /// The difference between all ids before.
    step: u64,
    /// The id of the first event of the rest.
    first: u64,
    /// The id of the last one that was read.
    last: u64,
    /// The number of usual steps after the first event.
    usual_steps: u8,
    /// Whether only the last event of the stream can be so near to the one before. Another
    /// event shows that the steps are not the usual ones.
    is_end: bool,
}

impl GapCheck {
    /// Creates a check of a rest that begins with the event `first` after events with the ids
    /// up to `last`, with the same `step` between all of them. Returns `None` if `first` is not
    /// too far away.
    pub fn new(step: u64, last: u64, first: u64) -> Option<Self> {
        let difference = first.checked_sub(last).filter(|d| *d > step)?;
        Some(Self {
            step,
            first,
            last: first,
            usual_steps: 0,
            // Whole events were left out only if the last one of the stream was shorter.
            is_end: difference % step != 0,
        })
    }

    /// Returns the id of the first event of the rest.
    pub fn first(&self) -> u64 {
        self.first
    }

    /// Reads the id of the next event.
    pub fn push(&mut self, id: u64) -> Verdict {
        let difference = id.saturating_sub(self.last);
        self.last = id.max(self.last);
        if difference == 0 {
            return Verdict::Gap;
        }
        if self.is_end || difference > self.step {
            return Verdict::InOrder;
        }
        if difference < self.step {
            self.is_end = true;
            return Verdict::Open;
        }
        self.usual_steps += 1;
        match self.usual_steps {
            CONFIRMING_STEPS.. => Verdict::Gap,
            _ => Verdict::Open,
        }
    }
}
