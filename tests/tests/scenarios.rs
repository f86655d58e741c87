//! Runs each script in `scenarios/` against the production state machines.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;

use rstest::rstest;
use system::world::script::Script;

#[rstest]
fn scenario(#[files("scenarios/*.script")] path: PathBuf) {
    goldenscript::run(&mut Script::default(), path).unwrap();
}
