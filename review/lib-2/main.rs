//! Scripts of the review: each starts relays, stand-ins and callers, and judges what callers and endpoints saw.

mod again;
mod crowd;
mod http;
mod record;
mod relay;
mod runner;
mod silence;
mod store;
mod weak;

use std::io::{self, Write};
use std::path::Path;
use std::{env, fs, process};

use record::Record;

/// What a case needs of its surroundings.
pub struct Setting<'a> {
    pub folder: &'a Path,
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Prints a line; nobody may be there to read it.
pub fn say(text: &str) {
    let _printed = writeln!(io::stdout(), "{text}");
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, output] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        process::exit(2);
    };
    let folder = env::temp_dir().join(format!("review-{}-{}", case, process::id()));
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let run = || -> io::Result<bool> {
        fs::create_dir_all(&folder)?;
        let record = Record::create(&Path::new(output).join("record.txt"))?;
        record.line(&format!("case {case}, trouble {}", u8::from(has_trouble)));
        let setting = Setting { folder: &folder, record, has_trouble };
        match case.as_str() {
            "crowd" => crowd::run(&setting),
            "again" => again::run(&setting),
            "silence" => silence::run(&setting),
            "weak" => weak::run(&setting),
            _ => Err(io::Error::other("no such case")),
        }
    };
    let result = run();
    if env::var_os("KEEP").is_none() {
        let _removed = fs::remove_dir_all(&folder);
    }
    match result {
        Ok(true) => say("the rule held"),
        Ok(false) => {
            say("the rule was broken");
            process::exit(1);
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            process::exit(2);
        }
    }
}
