//! Plays the cases of the second review: `rig CASE RECORD FOLDER MODE`.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod drill;
mod failback;
mod http;
mod rig;
mod settings;
mod stale;
mod store;
mod template;

use std::path::Path;

pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    std::process::exit(2);
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, folder, mode] = &words[..] else {
        cannot_run("arguments: CASE RECORD FOLDER MODE, with the mode `trouble` or `calm`");
    };
    let trouble = mode != "calm";
    let is_broken = match case.as_str() {
        "failback" => failback::play_zone(Path::new(record), Path::new(folder), trouble),
        "drill" => drill::play(Path::new(record), Path::new(folder), trouble),
        "drillcold" => failback::play_drill(Path::new(record), Path::new(folder), trouble),
        "settings" => settings::play(Path::new(record), Path::new(folder), trouble),
        "stale" => stale::play(Path::new(record), Path::new(folder), trouble),
        _ => cannot_run("unknown case"),
    };
    std::process::exit(i32::from(is_broken));
}
