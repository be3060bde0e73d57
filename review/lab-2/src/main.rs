//! The scripts of the second review: each starts gateways as processes beside stand-ins.

mod fleet;
mod forgotten_crashes;
mod gateway;
mod http;
mod record;
mod runner;
mod stale_reads;
mod store;

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a script has found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

/// What a script runs with.
pub struct Scene {
    pub record: record::Record,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// A loopback address of this process; `number` is 1 to 254.
pub fn own_ip(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 64, low, number)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = &arguments[..] else {
        eprintln!("usage: review-lab-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("kwg-review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let scene = Scene {
        record: record::Record::create(file.as_ref()),
        folder: folder.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
    };
    scene.record.line(format_args!("case {case}, trouble {}", scene.has_trouble));
    let verdict = match case.as_str() {
        "stale-reads" => stale_reads::run(&scene),
        "forgotten-crashes" => forgotten_crashes::run(&scene),
        _ => Verdict::NotRun("no such case"),
    };
    if std::env::var("KEEP").is_err() {
        drop(std::fs::remove_dir_all(&folder));
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "held".to_owned()),
        Verdict::Broken => (1, "BROKEN".to_owned()),
        Verdict::NotRun(reason) => (2, format!("could not run: {reason}")),
    };
    scene.record.line(format_args!("verdict: {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
