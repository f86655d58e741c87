//! What is known of the demand for experts.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use group::placement::demand::{Demand, Reading};

const WINDOW: Duration = Duration::from_millis(200);

fn demand() -> Demand {
    Demand::new(2, 3, Duration::from_millis(500), WINDOW)
}

/// Tells readings for some windows. Returns in which the older ones were
/// forgotten.
fn tell(demand: &mut Demand, from: u32, to: u32, reading: impl Fn(u32) -> [u32; 3]) -> Vec<u32> {
    let mut forgotten = Vec::new();
    for window in from..to {
        let (reading, before) = (reading(window).to_vec(), demand.weight());
        demand.note(WINDOW * window, &Reading::new(&[reading.clone(), reading]));
        if before > 0.0 && demand.weight() < before * 0.7 {
            forgotten.push(window);
        }
    }
    forgotten
}

#[test]
fn note_turn_forgets_older_readings() {
    let mut demand = demand();
    assert!(tell(&mut demand, 0, 20, |_| [800, 150, 50]).is_empty());
    // A window is taken in when the next one begins.
    assert_eq!(tell(&mut demand, 20, 24, |_| [50, 150, 800]), vec![21]);
    let tokens = &demand.tokens()[0];
    assert!(tokens[2] > 10.0 * tokens[0], "{tokens:?}");
}

#[test]
fn note_scatter_is_no_turn() {
    let mut demand = demand();
    let scattered =
        |window: u32| if window.is_multiple_of(2) { [500, 300, 200] } else { [420, 340, 240] };
    assert!(tell(&mut demand, 0, 40, scattered).is_empty());
    let weight = demand.weight();
    assert!(weight > 2000.0, "readings add up: {weight}");
}

#[test]
fn note_empty_reading_is_no_turn() {
    let mut demand = demand();
    assert!(tell(&mut demand, 0, 20, |_| [800, 150, 50]).is_empty());
    assert!(tell(&mut demand, 20, 30, |_| [0, 0, 0]).is_empty());
    assert!(tell(&mut demand, 30, 40, |_| [800, 150, 50]).is_empty());
}

#[test]
fn new_reading_keeps_proportions() {
    let choices: Vec<u32> = (0..258).map(|expert| 40 + 7 * expert * expert).collect();
    let reading = Reading::new(std::slice::from_ref(&choices));
    let told: Vec<f64> = reading.choices().next().unwrap().collect();
    let most = f64::from(*choices.iter().max().unwrap());
    for (told, exact) in told.iter().zip(&choices) {
        assert!((told - f64::from(*exact)).abs() <= most / 255.0, "{told} for {exact}");
    }
}
