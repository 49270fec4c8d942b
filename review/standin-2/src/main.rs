//! Drivers of the review's script cases: `review-case CASE FOLDER TEMPORARY`.
//!
//! The record is written into the folder, settings and logs of the daemons into the temporary one.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0` in the environment
//! the disturbance is left out.

mod backend;
mod cold;
mod drain;
mod host;
mod http;
mod record;
mod requester;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// Where a case writes.
#[derive(Debug)]
pub struct Folders<'a> {
    pub record: &'a Path,
    pub temporary: &'a Path,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = arguments.as_slice() else {
        println!("usage: review-case CASE FOLDER TEMPORARY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folders = Folders {
        record: Path::new(folder),
        temporary: Path::new(temporary),
    };
    match case.as_str() {
        "cold-shares" => cold::shares(&folders, has_trouble),
        "cold-outage" => cold::outage(&folders, has_trouble),
        "cold-restart" => cold::restart(&folders, has_trouble),
        "drain-late" => drain::late(&folders, has_trouble),
        _ => ExitCode::from(2),
    }
}
