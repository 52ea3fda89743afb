//! What an experiment prints.

use std::fmt;

use serde::Serialize;

/// What a figure must keep to.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    /// At most this.
    AtMost(f64),
    /// At least this.
    AtLeast(f64),
}

impl Bound {
    /// Whether `value` keeps to the bound.
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

/// The same figure under another way of deciding.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Baseline {
    /// The way.
    pub name: String,
    /// Its figure.
    pub value: f64,
}

/// One measured figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// What is measured.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// Our figure.
    pub ours: f64,
    /// The bound from the stated target, if there is one.
    pub bound: Option<Bound>,
    /// What a planner with perfect knowledge would get, if it can be worked out.
    pub optimum: Option<f64>,
    /// Other ways in the same run.
    pub baselines: Vec<Baseline>,
}

impl Figure {
    /// Makes a figure without bound, optimum or baselines.
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

    /// Whether the bound, if any, is kept.
    pub fn holds(&self) -> bool {
        self.bound.is_none_or(|bound| bound.holds(self.ours))
    }
}

/// A line of a plot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Series {
    /// Its name.
    pub name: String,
    /// Its points, x before y.
    pub points: Vec<(f64, f64)>,
}

/// All that one experiment measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// The experiment.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// The figures.
    pub figures: Vec<Figure>,
    /// Axis labels of the plot, x before y.
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

/// A report as a table of a Markdown page.
pub struct Table<'a>(pub &'a Report);

impl fmt::Display for Table<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "### {} (seed {})\n", self.0.name, self.0.seed)?;
        writeln!(f, "| | figure | ours | unit | bound | optimum | other ways |")?;
        writeln!(f, "|---|---|---|---|---|---|---|")?;
        for figure in &self.0.figures {
            writeln!(f, "{}", row(figure))?;
        }
        Ok(())
    }
}

fn row(figure: &Figure) -> String {
    let mark = if figure.holds() { "" } else { "!" };
    let missed = if figure.holds() { "" } else { ", missed" };
    let bound = figure.bound.map(|bound| format!("{bound}{missed}")).unwrap_or_default();
    let optimum = figure.optimum.map(number).unwrap_or_default();
    let others =
        figure.baselines.iter().map(|other| format!("{} {}", other.name, number(other.value)));
    let others = others.collect::<Vec<_>>().join(", ");
    let Figure { name, unit, ours, .. } = figure;
    format!("| {mark} | {name} | {} | {unit} | {bound} | {optimum} | {others} |", number(*ours))
}

fn number(value: f64) -> String {
    if value.abs() >= 1_000.0 || value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    format!("{value:.4}")
}
