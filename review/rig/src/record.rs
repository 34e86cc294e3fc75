//! The record of a run: what was sent, answered and run, one line each.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    begin: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            begin: Instant::now(),
        })
    }

    /// Milliseconds since the begin.
    pub fn now_ms(&self) -> f64 {
        self.begin.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{now:10.1} {text}");
        }
    }

    /// A line for the record and for the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}
