//! The record of a case: what was sent, answered and run.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http::Head, runner::Runner};

/// An arrival or a run of a request at a runner.
#[derive(Debug, Clone)]
pub struct Visit {
    pub at: f64,
    pub runner: String,
    pub zone: String,
}

#[derive(Default)]
struct Facts {
    arrivals: BTreeMap<String, Vec<Visit>>,
    runs: BTreeMap<String, Vec<Visit>>,
}

/// Shared record; times are seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    facts: Arc<Mutex<Facts>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)), facts: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn unix_ms(&self) -> u64 {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        time.as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{:8.3} {text}", self.now());
    }

    /// Also prints the line.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now());
    }

    fn visit(&self, runner: &Runner) -> Visit {
        Visit { at: self.now(), runner: runner.id.clone(), zone: runner.zone.clone() }
    }

    pub fn arrival(&self, id: &str, runner: &Runner, head: &Head) {
        let visit = self.visit(runner);
        let resumed = head.header("last-event-id").map(|id| format!(", Last-Event-Id {id}"));
        let resumed = resumed.unwrap_or_default();
        self.line(&format!("request {id} reaches runner {} ({}){resumed}", runner.id, runner.zone));
        let mut facts = self.facts.lock().unwrap_or_else(|error| error.into_inner());
        facts.arrivals.entry(id.to_owned()).or_default().push(visit);
    }

    pub fn run(&self, id: &str, runner: &Runner, body: usize) {
        let visit = self.visit(runner);
        self.line(&format!("runner {} runs {id} ({body} bytes)", runner.id));
        let mut facts = self.facts.lock().unwrap_or_else(|error| error.into_inner());
        facts.runs.entry(id.to_owned()).or_default().push(visit);
    }

    pub fn runs(&self) -> BTreeMap<String, Vec<Visit>> {
        self.facts.lock().unwrap_or_else(|error| error.into_inner()).runs.clone()
    }

    pub fn arrivals(&self) -> BTreeMap<String, Vec<Visit>> {
        self.facts.lock().unwrap_or_else(|error| error.into_inner()).arrivals.clone()
    }
}
