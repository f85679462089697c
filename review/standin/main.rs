//! Stand-ins and checks of the cases in `review/` that are no days of the bench. Standard library
//! only; `review/build.sh` compiles it. `standin NAME FOLDER` plays a case, writes `FOLDER/record.txt`
//! and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod evacuation;
mod gateway;
mod http;
mod order;
mod record;
mod refused;
mod runner;
mod silence;
mod slow;
mod split;
mod store;
mod streams;

use std::{
    path::{Path, PathBuf},
    process::exit,
    thread,
    time::Duration,
};

use crate::{gateway::Gateway, record::Record, store::Store};

/// Longest time of a case.
const TIME_MAX: Duration = Duration::from_secs(112);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CannotRun(&'static str),
}

/// What a case works with.
pub struct Scene {
    pub record: Record,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub trouble: String,
    folder: PathBuf,
}

impl Scene {
    pub fn has_trouble(&self) -> bool {
        self.trouble != "0"
    }

    pub fn start_gateways(&mut self, zones: &[&str], bounds: gateway::Bounds) {
        for (number, zone) in zones.iter().enumerate() {
            let name = format!("edge-{zone}-{}", number + 1);
            let platform = self.store.doors[number % self.store.doors.len()];
            let gateway = Gateway::start(&self.folder, &name, zone, platform, bounds);
            self.gateways.push(gateway);
        }
    }

    /// Waits until all gateways are ready and name each other to clients.
    pub fn wait_until_ready(&self) -> bool {
        let timeout = Duration::from_secs(15);
        if !self.gateways.iter().all(|gateway| gateway.wait_until_ready(timeout)) {
            return false;
        }
        for _ in 0..200 {
            let is_named = |gateway: &Gateway| gateway.resolve("z").len() == self.gateways.len();
            if self.gateways.iter().all(is_named) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.record.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

/// The operator's document; `services` and `routes` are lists in JSON.
pub fn config(version: u64, services: &str, routes: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin NAME FOLDER");
        exit(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() || !Path::new("target/release/knapweedport").exists()
    {
        eprintln!("no temporary folder, or the build of the deploy file is missing");
        exit(2);
    }
    let leave = {
        let temporary = temporary.clone();
        move |code: i32| {
            gateway::end_all();
            if std::env::var_os("KEEP_LOGS").is_none() {
                let _ = std::fs::remove_dir_all(&temporary);
            }
            exit(code)
        }
    };
    let give_up = leave.clone();
    std::panic::set_hook(Box::new(move |panic| {
        eprintln!("{panic}");
        give_up(2)
    }));
    let give_up = leave.clone();
    thread::spawn(move || {
        thread::sleep(TIME_MAX);
        eprintln!("the case took too long");
        give_up(2)
    });
    let scene = Scene {
        record: Record::create(&PathBuf::from(folder).join("record.txt")),
        store: Store::start(),
        gateways: Vec::new(),
        trouble: std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned()),
        folder: temporary,
    };
    let record = scene.record.clone();
    let verdict = match name.as_str() {
        "refused" => refused::play(scene),
        "evacuation" => evacuation::play(scene),
        "order" => order::play(scene),
        "slow" => slow::play(scene),
        "silence" => silence::play(scene),
        "split" => split::play(scene),
        _ => Verdict::CannotRun("no case of this name"),
    };
    let code = match verdict {
        Verdict::Held => {
            record.say("verdict: the rule held");
            0
        }
        Verdict::Broken => {
            record.say("verdict: the rule was broken");
            1
        }
        Verdict::CannotRun(why) => {
            record.say(&format!("verdict: the case could not run: {why}"));
            2
        }
    };
    leave(code)
}
