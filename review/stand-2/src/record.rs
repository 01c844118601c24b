//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("a writable record")),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let millis = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("a record");
        let _ = writeln!(file, "{millis:>6} {text}");
    }
}
