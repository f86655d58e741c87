//! Progress of a load for whoever watches it.

use indicatif::{ProgressBar, ProgressStyle};

use super::run::Progress;

/// Shape of the bar.
const TEMPLATE: &str = "{elapsed} [{bar:40}] {pos}/{len} sent, {msg}";

/// Shows the progress of `total` requests on standard error, if that is a
/// terminal.
///
/// ```
/// use lab::load::{Progress, progress_bar};
/// let mut show = progress_bar(10);
/// show(Progress { sent: 1, ended: Default::default() });
/// ```
pub fn progress_bar(total: u64) -> impl FnMut(Progress) {
    let bar = ProgressBar::new(total);
    if let Ok(style) = ProgressStyle::with_template(TEMPLATE) {
        bar.set_style(style);
    }
    move |progress| {
        let ended = progress.ended;
        let bad = ended.lost + ended.wrong;
        bar.set_position(progress.sent);
        bar.set_message(format!("{} whole, {bad} lost or wrong", ended.whole));
    }
}
