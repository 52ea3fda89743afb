//! Runs experiments from the command line.

use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

use ibishill_bench::{experiment, history, plot, report, slopes};

const USAGE: &str = "\
Usage: ibishill-bench NAME... | all | slopes | control [--seed N] [--json | --table] [--plot DIR]
       ibishill-bench history --seeds A..B [--json]
       ibishill-bench --list
";

struct Options {
    names: Vec<String>,
    seed: u64,
    json: bool,
    table: bool,
    list: bool,
    seeds: Range<u64>,
    folder: Option<PathBuf>,
}

fn parse() -> Result<Options, lexopt::Error> {
    use lexopt::ValueExt;

    let mut parser = lexopt::Parser::from_env();
    let mut options = Options {
        names: Vec::new(),
        seed: 1,
        json: false,
        table: false,
        list: false,
        seeds: 0..20,
        folder: None,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            lexopt::Arg::Long("seeds") => options.seeds = parser.value()?.parse_with(seeds)?,
            lexopt::Arg::Long("json") => options.json = true,
            lexopt::Arg::Long("table") => options.table = true,
            lexopt::Arg::Long("list") => options.list = true,
            lexopt::Arg::Long("plot") => options.folder = Some(parser.value()?.into()),
            lexopt::Arg::Value(name) => options.names.push(name.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let (from, until) = text.split_once("..").ok_or("seeds have the form A..B")?;
    let number = |part: &str| part.parse::<u64>().map_err(|error| error.to_string());
    Ok(number(from)?..number(until)?)
}

/// Runs the histories of the seeds; tells whether nothing was violated.
fn histories(options: &Options) -> Result<bool, String> {
    let mut summary = history::Summary::default();
    for seed in options.seeds.clone() {
        summary.add(seed, &history::run::run(seed, history::Breakage::None));
    }
    if options.json {
        println!("{}", serde_json::to_string(&summary).map_err(|error| error.to_string())?);
    } else {
        print!("{summary}");
    }
    Ok(summary.violations.is_empty())
}

fn main() -> ExitCode {
    let options = match parse() {
        Ok(options) if options.list || !options.names.is_empty() => options,
        Ok(_) => return usage("a name is missing"),
        Err(error) => return usage(&error.to_string()),
    };
    if options.list {
        for found in experiment::ALL {
            println!("{:12} {}", found.name, found.purpose);
        }
        return ExitCode::SUCCESS;
    }
    match run(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => usage(&error),
    }
}

fn usage(problem: &str) -> ExitCode {
    eprintln!("error: {problem}\n{USAGE}");
    ExitCode::from(2)
}

/// Runs what was asked for; tells whether every bound was kept.
fn run(options: &Options) -> Result<bool, String> {
    let mut kept = true;
    for name in &options.names {
        if name == "history" {
            kept &= histories(options)?;
            continue;
        }
        let part = match name.as_str() {
            "slopes" => Some(slopes::Part::All),
            "control" => Some(slopes::Part::Control),
            _ => None,
        };
        if let Some(part) = part {
            kept &= print(options, &slopes::run(part, options.seed)?)?;
            continue;
        }
        let known = |found: &&experiment::Experiment| name == "all" || found.name == name;
        let chosen: Vec<_> = experiment::ALL.iter().filter(known).collect();
        if chosen.is_empty() {
            return Err(format!("{name:?} is no experiment; see --list"));
        }
        for found in chosen {
            kept &= print(options, &(found.run)(options.seed))?;
        }
    }
    Ok(kept)
}

/// Prints and draws one report; tells whether every bound was kept.
fn print(options: &Options, report: &report::Report) -> Result<bool, String> {
    if options.json {
        println!("{}", serde_json::to_string(report).map_err(|error| error.to_string())?);
    } else if options.table {
        println!("{}", report::Table(report));
    } else {
        println!("{report}");
    }
    if let Some(folder) = &options.folder {
        std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
        plot::draw(report, folder)?;
    }
    Ok(report.figures.iter().all(report::Figure::holds))
}
