//! The experiments' figures with their targets.

use crate::experiment::{Bound, Figure, Row, Settings, rows, run};

/// Skew of the slowest rank, in percent.
const SKEW: &str = "skew_percent";
/// Skew in parts of the best baseline's.
const SKEW_RATIO: &str = "skew_of_best_baseline_ratio";
/// Weights moved.
const MOVED: &str = "moved_gb_per_hour";
/// Weights moved in parts of those of full re-placement.
const MOVED_RATIO: &str = "moved_of_full_ratio";
/// Steps stalled.
const STALLED: &str = "stalled_steps_per_hour";
/// Steps stalled in parts of those of full re-placement.
const STALLED_RATIO: &str = "stalled_of_full_ratio";
/// First token of the smaller accounts.
const SMALL: &str = "small_first_token_p95_ms";
/// The same in parts of that without a flood.
const SMALL_RATIO: &str = "small_p95_of_calm_ratio";

/// The targets by measure; they hold for each policy alike.
const TARGETS: [(&str, Bound); 7] = [
    (SKEW, Bound::Most(5.0)),
    (SKEW_RATIO, Bound::Below(0.5)),
    (MOVED_RATIO, Bound::Most(0.1)),
    (STALLED_RATIO, Bound::Most(0.1)),
    ("first_token_p95_ms", Bound::Most(530.0)),
    ("load_of_capacity_ratio", Bound::Most(1.0)),
    (SMALL_RATIO, Bound::Most(1.1)),
];

/// Runs the experiments and compares the policies with the baselines.
///
/// ```
/// use lab::bench::{Size, policies};
/// let mut settings = Size::quick().policies;
/// settings.placement = None;
/// let rows = policies(&settings);
/// assert!(rows.iter().any(|row| row.measure == "small_p95_of_calm_ratio"));
/// ```
pub fn measure(settings: &Settings) -> Vec<Row> {
    let mut figures = run_all(settings);
    let mut ratios = Vec::new();
    for figure in &figures {
        ratios.extend(ratio(figure, &figures));
    }
    figures.extend(ratios);
    let mut rows = rows(&figures);
    for row in &mut rows {
        let target = TARGETS.iter().find(|(measure, _)| *measure == row.measure);
        if let Some((_, bound)) = target {
            row.aim(*bound);
        }
    }
    rows.sort_by_key(place);
    rows
}

/// Runs each seed on a thread of its own; the figures don't depend on it.
fn run_all(settings: &Settings) -> Vec<Figure> {
    std::thread::scope(|scope| {
        let start = |seed: &u64| {
            let settings = Settings { seeds: vec![*seed], ..settings.clone() };
            scope.spawn(move || run(&settings))
        };
        let threads: Vec<_> = settings.seeds.iter().map(start).collect();
        let join = |thread: std::thread::ScopedJoinHandle<'_, Vec<Figure>>| {
            thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        };
        threads.into_iter().flat_map(join).collect()
    })
}

/// Ratios stand with the study that they belong to.
fn place(row: &Row) -> usize {
    let studies = ["placement", "choice", "limit", "flood"];
    studies.iter().position(|study| *study == row.study).unwrap_or(studies.len())
}

/// The figure in parts of the one that its target refers to.
fn ratio(figure: &Figure, figures: &[Figure]) -> Option<Figure> {
    let value = |policy: &str| {
        let same = |other: &&Figure| {
            other.study == figure.study
                && other.measure == figure.measure
                && other.seed == figure.seed
                && other.policy == policy
        };
        figures.iter().find(same).map(|other| other.value)
    };
    let (name, base) = match figure.measure.as_str() {
        SKEW if figure.policy == "planner" => {
            let baselines = ["never", "full", "longest_first"];
            (SKEW_RATIO, baselines.into_iter().filter_map(value).reduce(f64::min)?)
        }
        MOVED if figure.policy != "full" => (MOVED_RATIO, value("full")?),
        STALLED if figure.policy != "full" => (STALLED_RATIO, value("full")?),
        SMALL => {
            let (policy, factor) = figure.policy.split_once(" x")?;
            if factor == "1" {
                return None;
            }
            (SMALL_RATIO, value(&format!("{policy} x1"))?)
        }
        _ => return None,
    };
    let ratio = figure.value / base;
    Some(Figure::new(figure.study.clone(), figure.policy.clone(), name, figure.seed, ratio))
}
