//! Tests of the demand estimate.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use group::placement::demand::{Demand, Reading};

const WINDOW: Duration = Duration::from_millis(200);

fn demand() -> Demand {
    Demand::new(2, 3, Duration::from_millis(500), WINDOW)
}

/// Adds one reading in each of the windows. Returns the windows in which earlier
/// readings were discarded.
fn observe_windows(
    demand: &mut Demand,
    from: u32,
    to: u32,
    reading: impl Fn(u32) -> [u32; 3],
) -> Vec<u32> {
    let mut discarded = Vec::new();
    for window in from..to {
        let (reading, before) = (reading(window).to_vec(), demand.mean_tokens());
        demand.observe(WINDOW * window, &Reading::new(&[reading.clone(), reading]));
        if before > 0.0 && demand.mean_tokens() < before * 0.7 {
            discarded.push(window);
        }
    }
    discarded
}

#[test]
fn observe_shift_discards_older_readings() {
    let mut demand = demand();
    assert!(observe_windows(&mut demand, 0, 20, |_| [800, 150, 50]).is_empty());
    // A window is evaluated when the first reading of the next one arrives.
    assert_eq!(observe_windows(&mut demand, 20, 24, |_| [50, 150, 800]), vec![21]);
    let tokens = &demand.tokens()[0];
    assert!(tokens[2] > 10.0 * tokens[0], "{tokens:?}");
}

#[test]
fn observe_scatter_is_no_shift() {
    let mut demand = demand();
    let scattered =
        |window: u32| if window.is_multiple_of(2) { [500, 300, 200] } else { [420, 340, 240] };
    assert!(observe_windows(&mut demand, 0, 40, scattered).is_empty());
    let weight = demand.mean_tokens();
    assert!(weight > 2000.0, "readings add up: {weight}");
}

#[test]
fn observe_empty_reading_is_no_shift() {
    let mut demand = demand();
    assert!(observe_windows(&mut demand, 0, 20, |_| [800, 150, 50]).is_empty());
    assert!(observe_windows(&mut demand, 20, 30, |_| [0, 0, 0]).is_empty());
    assert!(observe_windows(&mut demand, 30, 40, |_| [800, 150, 50]).is_empty());
}

#[test]
fn new_reading_keeps_proportions() {
    let choices: Vec<u32> = (0..258).map(|expert| 40 + 7 * expert * expert).collect();
    let reading = Reading::new(std::slice::from_ref(&choices));
    let decoded: Vec<f64> = reading.choices().next().unwrap().collect();
    let most = f64::from(*choices.iter().max().unwrap());
    for (decoded, exact) in decoded.iter().zip(&choices) {
        assert!((decoded - f64::from(*exact)).abs() <= most / 255.0, "{decoded} for {exact}");
    }
}
