//! Rows, targets and plots of experiments.
#![allow(clippy::unwrap_used)]

use lab::bench::{Size, policies};
use lab::experiment::{Bound, Figure, Flood, Limit, Row, Settings, plot, print, rows, run};
use rstest::rstest;

/// A study of one policy that takes no time to speak of.
fn tiny() -> Settings {
    let flood = Flood { policies: vec!["fair".into()], factors: vec![1.0, 5.0] };
    let settings = Settings::full(&[1, 2]);
    Settings { placement: None, choice: None, limit: None, flood: Some(flood), ..settings }
}

fn find<'a>(rows: &'a [Row], policy: &str, measure: &str) -> &'a Row {
    rows.iter().find(|row| row.policy == policy && row.measure == measure).unwrap()
}

#[rstest]
#[case::one(&[3.0], 3.0)]
#[case::odd(&[9.0, 1.0, 2.0], 2.0)]
#[case::even(&[4.0, 1.0, 2.0, 9.0], 3.0)]
fn row_median(#[case] values: &[f64], #[case] median: f64) {
    let figures: Vec<Figure> =
        values.iter().map(|value| Figure::new("s", "p", "m", 1, *value)).collect();
    let rows = rows(&figures);
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].median, median);
    assert_eq!(rows[0].values, values);
}

/// One seed above the target is a miss, whatever the median.
#[rstest]
#[case::all(Bound::Most(2.0), true)]
#[case::one_above(Bound::Most(1.9), false)]
#[case::not_below(Bound::Below(2.0), false)]
fn row_target(#[case] bound: Bound, #[case] met: bool) {
    let figures = [1.0, 1.0, 2.0].map(|value| Figure::new("s", "p", "m", 1, value));
    let mut rows = rows(&figures);
    rows[0].aim(bound);
    assert_eq!(rows[0].met, Some(met));
    let verdict = if met { "met" } else { "missed" };
    assert!(print(&rows).trim_end().ends_with(verdict));
}

#[test]
fn run_each_seed_same_twice() {
    let settings = tiny();
    let figures = run(&settings);
    assert_eq!(figures, run(&settings));
    assert!(rows(&figures).iter().all(|row| row.values.len() == 2));
}

/// A baseline that fails shows that the targets tell policies apart.
#[test]
fn policies_targets_tell_apart() {
    let mut settings = tiny();
    settings.seeds.truncate(1);
    settings.flood.as_mut().unwrap().policies.push("fifo".into());
    settings.limit =
        Some(Limit { policies: vec!["fixed".into()], ..Settings::full(&[1]).limit.unwrap() });
    settings.placement = Size::quick().policies.placement;
    let rows = policies(&settings);
    let ratio = "small_p95_of_calm_ratio";
    assert_eq!(find(&rows, "fair x5", ratio).met, Some(true));
    assert_eq!(find(&rows, "fifo x5", ratio).met, Some(false));
    assert_eq!(find(&rows, "fixed", "load_of_capacity_ratio").met, Some(false));
    assert_eq!(find(&rows, "planner", "skew_percent").met, Some(true));
    assert_eq!(find(&rows, "never", "skew_percent").met, Some(false));
    assert_eq!(find(&rows, "longest_first", "moved_of_full_ratio").met, Some(false));
}

#[test]
fn plot_one_file_a_measure() {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let figures = [("a", "m"), ("b", "m"), ("a", "n")]
        .map(|(policy, measure)| Figure::new("plot", policy, measure, 1, 2.0));
    let paths = plot(&rows(&figures), directory).unwrap();
    assert_eq!(paths, ["plot-m.svg", "plot-n.svg"].map(|name| directory.join(name)));
    assert!(plot(&rows(&figures), &directory.join("absent")).is_err());
}
