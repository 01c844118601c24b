//! The record of what was sent, answered and run.

use std::cell::RefCell;
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Rc<RefCell<std::fs::File>>,
    begun: Instant,
}

impl Record {
    /// Creates the record, in place of an earlier one.
    pub fn new(path: PathBuf) -> Self {
        let file = std::fs::File::create(path).expect("the record can be written");
        Self {
            file: Rc::new(RefCell::new(file)),
            begun: Instant::now(),
        }
    }

    /// Returns the time since the case began.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Adds a line with the time.
    pub fn line(&self, text: &str) {
        let seconds = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.borrow_mut(), "{seconds:8.3} {text}");
    }
}
