//! `wisteria config check FILE`.

use std::fs::File;
use std::io::Read;
use std::ops::Range;
use std::path::Path;

use adapter::check::{self, Finding, Severity};
use miette::{
    LabeledSpan, MietteDiagnostic, MietteError, MietteSpanContents, Report, SourceCode, SourceSpan,
    SpanContents,
};
use serde::Serialize;

use crate::action::Format;
use crate::flags::{Check, Config, ConfigCmd};

/// Bytes shown before and after a finding on its line. A stored configuration may be
/// a single line of several megabytes.
const CONTEXT: usize = 60;

/// A file cannot be read as text.
#[derive(Debug, thiserror::Error)]
enum Unreadable {
    #[error("cannot read the file: {0}")]
    Read(#[from] std::io::Error),
    #[error("the file has more than {} bytes", check::MAX_BYTES)]
    TooLarge,
    #[error("the file is not valid UTF-8 from byte {0}")]
    Encoding(usize),
}

/// The text of a file with masked keys, and the starts of its lines.
struct Source {
    name: String,
    masked: String,
    line_starts: Vec<usize>,
}

/// A finding with its place in a file.
#[derive(Serialize)]
struct Row {
    severity: &'static str,
    code: &'static str,
    file: String,
    path: String,
    /// Counted from 1, as is the column, in bytes. 0 if there is no place.
    line: usize,
    column: usize,
    message: String,
    #[serde(skip)]
    rank: Severity,
    #[serde(skip)]
    excerpt: Option<Excerpt>,
}

/// All findings of a check.
#[derive(Serialize)]
struct Outcome {
    file: String,
    errors: usize,
    warnings: usize,
    differences: usize,
    findings: Vec<Row>,
}

/// The part of a line around a finding.
struct Excerpt {
    name: String,
    text: String,
    /// Offset of the text in the file.
    start: usize,
    line: usize,
    line_start: usize,
    label: Range<usize>,
}

/// Checks a file, prints the findings and returns the exit code.
pub fn run(json: bool, flags: &Config) -> i32 {
    let ConfigCmd::Check(flags) = &flags.subcommand;
    let outcome = examine(flags);
    let code = match (outcome.errors, outcome.warnings) {
        (0, 0) => 0,
        (0, _) => i32::from(flags.strict),
        _ => 2,
    };
    match json || flags.format == Some(Format::Json) {
        true => super::print_json(&outcome),
        false => outcome.print(),
    }
    code
}

fn examine(flags: &Check) -> Outcome {
    let mut rows = Vec::new();
    let read = |path: &Path, rows: &mut Vec<Row>| match load(path) {
        Ok(text) => match check::read(&text) {
            Ok(document) => Some((text, document)),
            Err(findings) => {
                rows.extend(locate(path, &text, findings));
                None
            }
        },
        Err(error) => {
            rows.push(Row::unreadable(path, &error));
            None
        }
    };
    let candidate = read(&flags.file, &mut rows);
    let in_force = flags.against.as_ref().and_then(|path| read(path, &mut rows));
    if let Some((text, document)) = candidate {
        let mut findings = document.findings();
        if let Some((_, in_force)) = &in_force {
            findings.extend(document.differences(in_force));
        }
        rows.extend(locate(&flags.file, &text, findings));
    }
    rows.sort_by_key(|row| row.rank);
    let count = |severity| rows.iter().filter(|row| row.rank == severity).count();
    Outcome {
        file: flags.file.display().to_string(),
        errors: count(Severity::Error),
        warnings: count(Severity::Warning),
        differences: count(Severity::Info),
        findings: rows,
    }
}

/// Reads a file without taking in more than the maximum size.
fn load(path: &Path) -> Result<String, Unreadable> {
    let mut bytes = Vec::new();
    File::open(path)?.take(check::MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > check::MAX_BYTES {
        return Err(Unreadable::TooLarge);
    }
    String::from_utf8(bytes).map_err(|error| Unreadable::Encoding(error.utf8_error().valid_up_to()))
}

/// The findings in a text, ordered by their place.
fn locate(path: &Path, text: &str, findings: Vec<Finding>) -> Vec<Row> {
    if findings.is_empty() {
        return Vec::new();
    }
    let source = Source::new(path, text);
    let has_path = findings.iter().all(|finding| finding.offset.is_none());
    let pointers: Vec<&str> = findings.iter().map(|finding| finding.path.as_str()).collect();
    // A text without paths may be no JSON, or be nested too deep to be searched.
    let ranges = if has_path { settings::locate(text, &pointers) } else { Vec::new() };
    let place = |index: usize, finding: &Finding| match finding.offset {
        Some(offset) => offset..(offset + 1).min(text.len()),
        None => ranges.get(index).cloned().unwrap_or_default(),
    };
    let mut places: Vec<(Range<usize>, Finding)> = Vec::new();
    for (index, finding) in findings.into_iter().enumerate() {
        places.push((place(index, &finding), finding));
    }
    places.sort_by_key(|(place, _)| place.start);
    places.into_iter().map(|(place, finding)| Row::new(&source, place, finding)).collect()
}

impl Source {
    fn new(path: &Path, text: &str) -> Source {
        let ends = text.match_indices('\n').map(|(end, _)| end + 1);
        Source {
            name: path.display().to_string(),
            masked: check::mask_text(text),
            line_starts: std::iter::once(0).chain(ends).collect(),
        }
    }

    /// The part of the first line of `place` that is shown.
    fn excerpt(&self, place: Range<usize>) -> Excerpt {
        let line = self.line_starts.partition_point(|start| *start <= place.start) - 1;
        let line_start = self.line_starts[line];
        let next = self.line_starts.get(line + 1).map(|start| start - 1);
        let line_end = next.unwrap_or(self.masked.len());
        let label_end = place.end.min(place.start + CONTEXT).min(line_end);
        let label_end = self.masked.floor_char_boundary(label_end).max(place.start);
        let start = place.start.saturating_sub(CONTEXT).max(line_start);
        let start = self.masked.floor_char_boundary(start);
        let end = self.masked.ceil_char_boundary((label_end + CONTEXT).min(line_end)).max(start);
        Excerpt {
            name: self.name.clone(),
            text: self.masked[start..end].to_owned(),
            start,
            line,
            line_start,
            label: place.start..label_end,
        }
    }
}

impl Row {
    fn new(source: &Source, place: Range<usize>, finding: Finding) -> Row {
        let excerpt = source.excerpt(place);
        let rank = finding.problem.severity();
        Row {
            severity: rank.as_str(),
            code: finding.problem.code(),
            file: source.name.clone(),
            path: finding.path,
            line: excerpt.line + 1,
            column: excerpt.label.start - excerpt.line_start + 1,
            message: finding.problem.to_string(),
            rank,
            excerpt: Some(excerpt),
        }
    }

    fn unreadable(path: &Path, error: &Unreadable) -> Row {
        Row {
            severity: Severity::Error.as_str(),
            code: "unreadable",
            file: path.display().to_string(),
            path: String::new(),
            line: 0,
            column: 0,
            message: error.to_string(),
            rank: Severity::Error,
            excerpt: None,
        }
    }

    fn report(self) -> Report {
        let severity = match self.rank {
            Severity::Error => miette::Severity::Error,
            Severity::Warning => miette::Severity::Warning,
            Severity::Info => miette::Severity::Advice,
        };
        let place = if self.path.is_empty() { &self.file } else { &self.path };
        let diagnostic = MietteDiagnostic::new(format!("{place}: {}", self.message))
            .with_code(format!("config::{}", self.code))
            .with_severity(severity);
        match self.excerpt {
            Some(excerpt) => {
                let label = LabeledSpan::new_with_span(Some("here".into()), excerpt.label.clone());
                Report::new(diagnostic.with_label(label)).with_source_code(excerpt)
            }
            None => Report::new(diagnostic),
        }
    }
}

impl Outcome {
    /// Prints the counts, and the findings as diagnostics.
    fn print(self) {
        for row in self.findings {
            eprintln!("{:?}", row.report());
        }
        println!(
            "{}: {} error(s), {} warning(s), {} difference(s)",
            self.file, self.errors, self.warnings, self.differences
        );
    }
}

impl SourceCode for Excerpt {
    fn read_span<'a>(
        &'a self,
        span: &SourceSpan,
        context_lines_before: usize,
        context_lines_after: usize,
    ) -> Result<Box<dyn SpanContents<'a> + 'a>, MietteError> {
        // Without context, the position of the span itself is asked for.
        let whole = self.start..self.start + self.text.len();
        let range = match (context_lines_before, context_lines_after) {
            (0, 0) => span.offset()..span.offset() + span.len(),
            _ => whole.clone(),
        };
        if range.start < whole.start || range.end > whole.end {
            return Err(MietteError::OutOfBounds);
        }
        let data = &self.text.as_bytes()[range.start - self.start..range.end - self.start];
        Ok(Box::new(MietteSpanContents::new_named(
            self.name.clone(),
            data,
            range.clone().into(),
            self.line,
            range.start - self.line_start,
            1,
        )))
    }
}
