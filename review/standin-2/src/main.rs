//! Stand-ins and drivers of the second review's cases. `review-standin-2 CASE FOLDER TEMP` runs a
//! case, writes `record.txt` into FOLDER, keeps settings, logs and the numbers of the processes that it
//! starts in TEMP, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod blind;
mod config;
mod copies;
mod http;
mod keys;
mod plain;
mod runner;
mod stages;
mod stale;
mod store;
mod world;

use std::path::Path;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, temp] = words.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER TEMP");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = world::Record::create(Path::new(folder));
    record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
    let temp = Path::new(temp);
    let code = match case.as_str() {
        "blind" => blind::run(&record, temp, has_trouble),
        "stale" => stale::run(&record, temp, has_trouble),
        "keys" => keys::run(&record, temp, has_trouble),
        "copies" => copies::run(&record, temp, has_trouble),
        _ => {
            eprintln!("unknown case: {case}");
            2
        }
    };
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}
