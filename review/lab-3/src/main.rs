//! Plays one case of the third review: `review-lab-3 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in
//! the environment the case is played without its disruption.

mod bad_route;
mod client;
mod fleet;
mod record;
mod runner;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = &arguments[..] else {
        eprintln!("usage: review-lab-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = match case.as_str() {
        "bad-route" => bad_route::play(file, has_trouble),
        _ => Err("unknown case".into()),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
