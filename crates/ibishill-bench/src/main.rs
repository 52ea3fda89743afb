//! Command line of the benchmarks.

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
    plot_dir: Option<PathBuf>,
}

fn parse_args() -> Result<Options, lexopt::Error> {
    use lexopt::ValueExt;

    let mut parser = lexopt::Parser::from_env();
    let mut options = Options {
        names: Vec::new(),
        seed: 1,
        json: false,
        table: false,
        list: false,
        seeds: 0..20,
        plot_dir: None,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            lexopt::Arg::Long("seeds") => {
                options.seeds = parser.value()?.parse_with(parse_seeds)?
            }
            lexopt::Arg::Long("json") => options.json = true,
            lexopt::Arg::Long("table") => options.table = true,
            lexopt::Arg::Long("list") => options.list = true,
            lexopt::Arg::Long("plot") => options.plot_dir = Some(parser.value()?.into()),
            lexopt::Arg::Value(name) => options.names.push(name.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn parse_seeds(text: &str) -> Result<Range<u64>, String> {
    let (from, until) = text.split_once("..").ok_or("expected a range of seeds, A..B")?;
    let number = |part: &str| part.parse::<u64>().map_err(|error| error.to_string());
    Ok(number(from)?..number(until)?)
}

/// Runs one history for each seed and returns whether every invariant holds.
fn run_histories(options: &Options) -> Result<bool, String> {
    let mut summary = history::Summary::default();
    for seed in options.seeds.clone() {
        summary.add(seed, &history::run::run(seed, history::Ablation::None));
    }
    if options.json {
        println!("{}", serde_json::to_string(&summary).map_err(|error| error.to_string())?);
    } else {
        print!("{summary}");
    }
    Ok(summary.violations.is_empty())
}

fn main() -> ExitCode {
    let options = match parse_args() {
        Ok(options) if options.list || !options.names.is_empty() => options,
        Ok(_) => return usage("no experiment given"),
        Err(error) => return usage(&error.to_string()),
    };
    if options.list {
        for experiment in experiment::ALL {
            println!("{:12} {}", experiment.name, experiment.purpose);
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

/// Runs the chosen experiments and returns whether every bound holds.
fn run(options: &Options) -> Result<bool, String> {
    let mut all_hold = true;
    for name in &options.names {
        if name == "history" {
            all_hold &= run_histories(options)?;
            continue;
        }
        let scope = match name.as_str() {
            "slopes" => Some(slopes::Scope::All),
            "control" => Some(slopes::Scope::Control),
            _ => None,
        };
        if let Some(scope) = scope {
            all_hold &= emit(options, &slopes::run(scope, options.seed)?)?;
            continue;
        }
        let matches =
            |experiment: &&experiment::Experiment| name == "all" || experiment.name == name;
        let chosen: Vec<_> = experiment::ALL.iter().filter(matches).collect();
        if chosen.is_empty() {
            return Err(format!("unknown experiment {name:?}; see --list"));
        }
        for experiment in chosen {
            all_hold &= emit(options, &(experiment.run)(options.seed))?;
        }
    }
    Ok(all_hold)
}

/// Prints one report, plots it if asked to, and returns whether every bound holds.
fn emit(options: &Options, report: &report::Report) -> Result<bool, String> {
    if options.json {
        println!("{}", serde_json::to_string(report).map_err(|error| error.to_string())?);
    } else if options.table {
        println!("{}", report::Table(report));
    } else {
        println!("{report}");
    }
    if let Some(plot_dir) = &options.plot_dir {
        std::fs::create_dir_all(plot_dir).map_err(|error| error.to_string())?;
        plot::draw(report, plot_dir)?;
    }
    Ok(report.figures.iter().all(report::Figure::holds))
}
