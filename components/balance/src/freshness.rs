//! How old an entry's copy of the store's objects may get.
//!
//! An entry relies on other entries only as long as it knows that its copy matched the
//! store a short while ago. Otherwise it asks the store itself, whatever the
//! reason: the others lost the store, their messages don't arrive, or they are wrong.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSecondsWithFrac, serde_as};

use crate::content::Kind;

/// Share of the time limit for which a watch may wait without an answer.
const WATCH_SHARE: f64 = 0.45;

/// Share of the time limit up to which a copy counts as current. Above
/// [`WATCH_SHARE`], so that copies don't expire between two answers; the rest is left
/// for a call to the store.
const AGE_SHARE: f64 = 0.7;

/// Times within which changes in the store must take effect, by kind of object. From
/// the platform's settings.
///
/// ```
/// use balance::content::Kind;
/// use balance::freshness::Bounds;
/// let bounds = Bounds::default();
/// assert!(bounds.watch_timeout(Kind::Config) < bounds.max_age(Kind::Config));
/// assert!(bounds.max_age(Kind::Config) < bounds.config);
/// ```
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time limit for the operators' configuration.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "config_ms")]
    pub config: Duration,
    /// Time limit for backend servers that leave.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "server_ms")]
    pub server: Duration,
    /// Time limit for zones that are taken out of service.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "zone_ms")]
    pub zone: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            config: Duration::from_secs(2),
            server: Duration::from_secs(2),
            zone: Duration::from_secs(5),
        }
    }
}

impl Bounds {
    /// Longest wait of a watch for changes of a kind.
    pub fn watch_timeout(&self, kind: Kind) -> Duration {
        self.limit(kind).mul_f64(WATCH_SHARE)
    }

    /// Age up to which a copy of a kind counts as current.
    pub fn max_age(&self, kind: Kind) -> Duration {
        self.limit(kind).mul_f64(AGE_SHARE)
    }

    fn limit(&self, kind: Kind) -> Duration {
        match kind {
            Kind::Config => self.config,
            Kind::Server => self.server,
            Kind::Zone | Kind::Peer | Kind::Agent => self.zone,
        }
    }
}
