//! The report of an experiment: figures with their bounds, and series to plot.

use std::fmt;

use serde::Serialize;

/// Required range of a figure.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    /// Upper limit, inclusive.
    AtMost(f64),
    /// Lower limit, inclusive.
    AtLeast(f64),
}

impl Bound {
    /// Whether `value` is within the bound.
    pub fn holds(self, value: f64) -> bool {
        match self {
            Self::AtMost(limit) => value <= limit,
            Self::AtLeast(limit) => value >= limit,
        }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(limit) => write!(f, "<= {limit}"),
            Self::AtLeast(limit) => write!(f, ">= {limit}"),
        }
    }
}

/// The same figure under another algorithm.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Baseline {
    /// The algorithm, or another value given for comparison.
    pub name: String,
    /// Its value, in the unit of the figure unless the name says otherwise.
    pub value: f64,
}

/// One measured figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// What is measured.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// Value measured for the router.
    pub ours: f64,
    /// Bound from the stated target; none if there is no target.
    pub bound: Option<Bound>,
    /// Value under perfect knowledge; none if it is not computed.
    pub optimum: Option<f64>,
    /// Values for comparison from the same run.
    pub baselines: Vec<Baseline>,
}

impl Figure {
    /// Creates a figure without bound, optimum or baselines.
    pub fn new<N, U>(name: N, unit: U, ours: f64) -> Self
    where
        N: Into<String>,
        U: Into<String>,
    {
        Self {
            name: name.into(),
            unit: unit.into(),
            ours,
            bound: None,
            optimum: None,
            baselines: Vec::new(),
        }
    }

    /// Sets the bound.
    pub fn bound(mut self, bound: Bound) -> Self {
        self.bound = Some(bound);
        self
    }

    /// Sets the optimum.
    pub fn optimum(mut self, optimum: f64) -> Self {
        self.optimum = Some(optimum);
        self
    }

    /// Adds a baseline.
    pub fn baseline<N>(mut self, name: N, value: f64) -> Self
    where
        N: Into<String>,
    {
        self.baselines.push(Baseline { name: name.into(), value });
        self
    }

    /// Whether the value is within the bound; true without one.
    pub fn holds(&self) -> bool {
        self.bound.is_none_or(|bound| bound.holds(self.ours))
    }
}

/// A line of a plot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Series {
    /// Label in the legend.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// All results of one experiment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: String,
    /// Seed of the random generator.
    pub seed: u64,
    /// Measured figures, in the order in which they are printed.
    pub figures: Vec<Figure>,
    /// Axis labels of the plot as (x, y).
    pub axes: (String, String),
    /// Lines of the plot.
    pub series: Vec<Series>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (seed {})", self.name, self.seed)?;
        for figure in &self.figures {
            let mark = if figure.holds() { " " } else { "!" };
            write!(f, "{mark} {}: {:.4} {}", figure.name, figure.ours, figure.unit)?;
            if let Some(bound) = figure.bound {
                write!(f, " (bound {bound}{})", if figure.holds() { "" } else { ", missed" })?;
            }
            if let Some(optimum) = figure.optimum {
                write!(f, " (optimum {optimum:.4})")?;
            }
            for baseline in &figure.baselines {
                write!(f, " | {} {:.4}", baseline.name, baseline.value)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Formats a report as a Markdown table.
pub struct Table<'a>(pub &'a Report);

impl fmt::Display for Table<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "### {} (seed {})\n", self.0.name, self.0.seed)?;
        writeln!(f, "| | figure | ours | unit | bound | optimum | other ways |")?;
        writeln!(f, "|---|---|---|---|---|---|---|")?;
        for figure in &self.0.figures {
            writeln!(f, "{}", table_row(figure))?;
        }
        Ok(())
    }
}

fn table_row(figure: &Figure) -> String {
    let mark = if figure.holds() { "" } else { "!" };
    let missed = if figure.holds() { "" } else { ", missed" };
    let bound = figure.bound.map(|bound| format!("{bound}{missed}")).unwrap_or_default();
    let optimum = figure.optimum.map(format_number).unwrap_or_default();
    let others = figure
        .baselines
        .iter()
        .map(|other| format!("{} {}", other.name, format_number(other.value)));
    let others = others.collect::<Vec<_>>().join(", ");
    let Figure { name, unit, ours, .. } = figure;
    format!(
        "| {mark} | {name} | {} | {unit} | {bound} | {optimum} | {others} |",
        format_number(*ours)
    )
}

fn format_number(value: f64) -> String {
    if value.abs() >= 1_000.0 || value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    format!("{value:.4}")
}
