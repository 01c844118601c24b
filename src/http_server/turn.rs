//! Whose turn it is on a connection: its caller sends one request, and the next one is taken
//! when the answer has been passed to the kernel. What is sent ahead stays with the caller.

#[cfg(test)]
mod tests;

/// How much of a request has been taken, and whether more of it may be taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    phase: Phase,
    line: Line,
    /// Whether a request has been answered on the connection.
    has_answered: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// A head is awaited, of which so many bytes have been taken.
    Head { bytes: usize, has_begun: bool },
    /// A head has been taken, and its request has not been passed on yet.
    Decoding,
    /// The body of a request is taken as far as its handler wants it.
    Body { length: Length, is_wanted: bool },
    /// The handler of a request runs, or its answer is written. `is_whole` is `false` if the
    /// handler does not want the rest of the request.
    Answering { is_whole: bool },
    /// The end of an answer has been passed to the server, and may not be written yet.
    Writing { is_whole: bool },
    /// No further request is served: the handler of the last one did not want all of it.
    Ended,
}

/// The length of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Length {
    /// So many bytes, above 0, have not been taken.
    Known(u64),
    /// Only the decoder finds the end, for example that of the last chunk. It always ends
    /// with an empty line.
    Unknown,
}

/// The position in a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Line {
    /// Nothing of the line has been taken.
    Start,
    /// Only a carriage return has been taken.
    StartReturn,
    /// More has been taken.
    Inside,
}

/// What a connection waits for while it can be closed for another one. One that waits for
/// another request has been answered before, and is kept for its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Awaited {
    /// The first request, or the rest of it.
    First,
    /// The rest of the head of a later request.
    Rest,
}

impl Line {
    /// Takes a byte. Returns whether it ends an empty line.
    fn take(&mut self, byte: u8) -> bool {
        let is_end = byte == b'\n' && *self != Self::Inside;
        *self = match byte {
            b'\n' => Self::Start,
            b'\r' if *self == Self::Start => Self::StartReturn,
            _ => Self::Inside,
        };
        is_end
    }
}

impl Turn {
    /// Creates the turn of a new connection.
    pub(super) fn new() -> Self {
        Self {
            phase: Self::HEAD,
            line: Line::Start,
            has_answered: false,
        }
    }

    const HEAD: Phase = Phase::Head {
        bytes: 0,
        has_begun: false,
    };

    /// Returns whether bytes of the caller may be taken.
    pub(super) fn is_open(&self) -> bool {
        match self.phase {
            Phase::Head { .. } => true,
            Phase::Body { is_wanted, .. } => is_wanted,
            Phase::Decoding | Phase::Answering { .. } | Phase::Writing { .. } | Phase::Ended => {
                false
            }
        }
    }

    /// Takes the beginning of `bytes`, which are not empty. Returns how many of them may be
    /// passed on: they end at the latest with a head, or where a body may end. The turn
    /// must be open.
    pub(super) fn take(&mut self, bytes: &[u8]) -> usize {
        match &mut self.phase {
            Phase::Body {
                length: Length::Known(left),
                is_wanted,
            } => {
                let count = usize::try_from(*left).map_or(bytes.len(), |l| l.min(bytes.len()));
                *left -= count as u64;
                *is_wanted = false;
                if *left == 0 {
                    self.phase = Phase::Answering { is_whole: true };
                }
                count
            }
            Phase::Body {
                length: Length::Unknown,
                is_wanted,
            } => {
                *is_wanted = false;
                self.line_end(bytes).unwrap_or(bytes.len())
            }
            Phase::Head { .. } => self.take_head(bytes),
            Phase::Decoding | Phase::Answering { .. } | Phase::Writing { .. } | Phase::Ended => 0,
        }
    }

    /// Takes bytes up to the end of the first empty line. Returns their number if there is
    /// one.
    fn line_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let end = bytes.iter().position(|byte| self.line.take(*byte));
        end.map(|at| at + 1)
    }

    fn take_head(&mut self, bytes: &[u8]) -> usize {
        let Phase::Head {
            bytes: before,
            mut has_begun,
        } = self.phase
        else {
            return 0;
        };
        for (i, byte) in bytes.iter().enumerate() {
            // Empty lines before a request are skipped.
            if self.line.take(*byte) && has_begun {
                self.phase = Phase::Decoding;
                return i + 1;
            }
            has_begun |= !matches!(byte, b'\r' | b'\n');
        }
        self.phase = Phase::Head {
            bytes: before + bytes.len(),
            has_begun,
        };
        bytes.len()
    }

    /// Returns the number of bytes of an incomplete head that were taken.
    pub(super) fn head_bytes(&self) -> usize {
        match self.phase {
            Phase::Head { bytes, .. } => bytes,
            _ => 0,
        }
    }

    /// Returns the number of bytes of a body that have not been taken, if it is known.
    pub(super) fn body_bytes(&self) -> Option<u64> {
        match self.phase {
            Phase::Body {
                length: Length::Known(left),
                ..
            } => Some(left),
            _ => None,
        }
    }

    /// Begins a request whose body has a length; `None` if it has no body.
    pub(super) fn begin(&mut self, length: Option<Length>) {
        self.line = Line::Start;
        self.phase = match length {
            Some(length) => Phase::Body {
                length,
                is_wanted: false,
            },
            None => Phase::Answering { is_whole: true },
        };
    }

    /// Lets more of the body be taken, since its handler waits for it. Returns whether there
    /// is more.
    pub(super) fn want_body(&mut self) -> bool {
        if let Phase::Body { is_wanted, .. } = &mut self.phase {
            *is_wanted = true;
        }
        self.is_open()
    }

    /// Ends the body: its handler has read it, or does not want the rest of it.
    pub(super) fn end_body(&mut self, is_whole: bool) {
        if let Phase::Body { .. } = self.phase {
            self.phase = Phase::Answering { is_whole };
        }
    }

    /// Ends the answer, which may not be written yet.
    pub(super) fn end_answer(&mut self) {
        let is_whole = match self.phase {
            Phase::Answering { is_whole } => is_whole,
            _ => false,
        };
        self.phase = Phase::Writing { is_whole };
        self.has_answered = true;
    }

    /// Continues after all bytes have been written. Returns whether an answer has ended with
    /// them.
    pub(super) fn handle_written(&mut self) -> bool {
        let Phase::Writing { is_whole } = self.phase else {
            return false;
        };
        self.phase = match is_whole {
            true => Self::HEAD,
            false => Phase::Ended,
        };
        self.line = Line::Start;
        true
    }

    /// Returns whether all of the request has been read by its handler, if there is one.
    pub(super) fn is_whole(&self) -> bool {
        match self.phase {
            Phase::Answering { is_whole } | Phase::Writing { is_whole } => is_whole,
            Phase::Body { .. } | Phase::Ended => false,
            Phase::Head { .. } | Phase::Decoding => true,
        }
    }

    /// Returns whether an answer is being prepared or written.
    pub(super) fn is_answering(&self) -> bool {
        matches!(
            self.phase,
            Phase::Decoding | Phase::Answering { .. } | Phase::Writing { .. }
        )
    }

    /// Returns whether no further request is served.
    pub(super) fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns what the connection waits for; `None` if it is not closed for others.
    pub(super) fn awaited(&self) -> Option<Awaited> {
        match self.phase {
            Phase::Head { .. } if !self.has_answered => Some(Awaited::First),
            Phase::Head { bytes, .. } if bytes > 0 => Some(Awaited::Rest),
            _ => None,
        }
    }
}
