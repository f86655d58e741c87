//! Runs the studies.

use admission::experiment::{flood as run_flood, ramp};
use routing::experiment::{Setting, run as run_choice};
use tables::Name;

use super::settings::{CHOOSINGS, CONTROLS, DISCIPLINES, PLACINGS, find};
use super::{Choice, Figure, Flood, Limit, Placement, Settings};

/// Bytes of a gigabyte.
const GB: f64 = 1e9;

/// Runs all studies with all seeds. The settings must be free of faults; a
/// policy that isn't known is left out.
///
/// ```
/// use lab::experiment::{Flood, Settings, run};
/// let flood = Flood { policies: vec!["fair".into()], factors: vec![1.0] };
/// let mut settings = Settings::full(&[1]);
/// settings = Settings { placement: None, choice: None, limit: None, flood: Some(flood), ..settings };
/// assert_eq!(run(&settings), run(&settings));
/// ```
pub fn run(settings: &Settings) -> Vec<Figure> {
    let mut figures = Vec::new();
    for seed in &settings.seeds {
        if let Some(study) = &settings.placement {
            placement(study, *seed, &mut figures);
        }
        if let Some(study) = &settings.choice {
            choice(study, *seed, &mut figures);
        }
        if let Some(study) = &settings.limit {
            limit(study, *seed, &mut figures);
        }
        if let Some(study) = &settings.flood {
            flood(study, *seed, &mut figures);
        }
    }
    // Rows of one study stand together, whatever the number of seeds.
    let order = |figure: &Figure| STUDIES.iter().position(|study| *study == figure.study);
    figures.sort_by_key(order);
    figures
}

/// The studies in the order of their rows.
const STUDIES: [&str; 4] = ["placement", "choice", "limit", "flood"];

fn placement(study: &Placement, seed: u64, figures: &mut Vec<Figure>) {
    let rows = group::experiment::placement(seed);
    for policy in &study.policies {
        let Some(placing) = find(&PLACINGS, policy) else { continue };
        let Some(row) = rows.iter().find(|row| row.policy == placing) else { continue };
        let mut add = |measure: &'static str, value| {
            figures.push(Figure::new("placement", policy.clone(), measure, seed, value));
        };
        add("skew_percent", row.skew * 100.0);
        add("moved_gb_per_hour", row.bytes / GB);
        add("stalled_steps_per_hour", row.stalled);
    }
}

fn choice(study: &Choice, seed: u64, figures: &mut Vec<Figure>) {
    for policy in &study.policies {
        let Some(choosing) = find(&CHOOSINGS, policy) else { continue };
        let Choice { lag, gaps, load, .. } = *study;
        let outcome = run_choice(Setting { seed, policy: choosing, lag, gaps, load });
        let mut add = |measure: &'static str, value| {
            figures.push(Figure::new("choice", policy.clone(), measure, seed, value));
        };
        add("first_token_p50_ms", outcome.median.as_secs_f64() * 1e3);
        add("first_token_p95_ms", outcome.p95.as_secs_f64() * 1e3);
        add("longest_queue_requests", outcome.queue as f64);
        add("longest_cold_queue_requests", outcome.cold_queue as f64);
        add("cached_share_percent", outcome.cached * 100.0);
    }
}

fn limit(study: &Limit, seed: u64, figures: &mut Vec<Figure>) {
    for policy in &study.policies {
        let Some(control) = find(&CONTROLS, policy) else { continue };
        let run = ramp(seed, control, study.rate, study.pause.as_secs_f64());
        let mut add = |measure: &'static str, value| {
            figures.push(Figure::new("limit", policy.clone(), measure, seed, value));
        };
        add("load_of_capacity_ratio", run.worst);
        add("collapses", f64::from(run.collapses));
        add("answered_requests", f64::from(run.answered));
        // A run that never came to full use has no time for it.
        if let Some(full) = run.full {
            add("full_use_after_s", full);
        }
        if let Some(full) = run.full_again {
            add("full_use_again_after_s", full);
        }
    }
}

fn flood(study: &Flood, seed: u64, figures: &mut Vec<Figure>) {
    for policy in &study.policies {
        let Some(discipline) = find(&DISCIPLINES, policy) else { continue };
        for factor in &study.factors {
            let run = run_flood(seed, discipline, *factor);
            let name = Name::from(format!("{policy} x{factor}"));
            let mut add = |measure: &'static str, value| {
                figures.push(Figure::new("flood", name.clone(), measure, seed, value));
            };
            add("small_first_token_p95_ms", run.small_p95 * 1e3);
            add("large_first_token_p95_ms", run.large_p95 * 1e3);
            add("small_lost_percent", run.small_lost * 100.0);
            add("longest_queue_requests", run.longest as f64);
        }
    }
}
