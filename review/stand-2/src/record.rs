//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    path: String,
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            path: path.to_owned(),
            file: Mutex::new(File::create(path).expect("a writable record")),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let millis = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("a record");
        let _ = writeln!(file, "{millis:>6} {text}");
    }

    /// Returns whether the record has a line with this text.
    pub fn contains(&self, text: &str) -> bool {
        std::fs::read_to_string(&self.path).is_ok_and(|record| record.contains(text))
    }
}
