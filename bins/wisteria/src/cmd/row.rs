//! List, show, set and delete rows of any kind.

use std::fmt::{self, Display, Formatter};

use operator::{Desired, Error};
use platform::Object;
use serde::Serialize;
use serde_json::Value;
use tables::{Key, Kind};

use super::Context;
use crate::action::{Edit, Service, View};

/// Rows of one kind.
#[derive(Serialize)]
#[serde(transparent)]
struct Rows(Vec<Object>);

impl Display for Rows {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for Object { name, version, value } in &self.0 {
            writeln!(f, "{name} version {version}: {value}")?;
        }
        Ok(())
    }
}

/// Command-line arguments that describe an action on a row.
pub struct Arguments {
    pub action: Edit,
    pub name: Option<String>,
    pub value: Option<String>,
    pub expect: Option<u64>,
}

pub async fn edit(context: &Context, kind: Kind, arguments: Arguments) -> Result<i32, Error> {
    let Arguments { action, name, value, expect } = arguments;
    let value = match action {
        Edit::List => return view(context, kind, View::List, name).await,
        Edit::Show => return view(context, kind, View::Show, name).await,
        Edit::Set => Some(value.ok_or(Error::Missing { what: "VALUE" })?),
        Edit::Delete => None,
    };
    let key = key(kind, name)?;
    let value = value.map(|value| parse_value(&key, &value)).transpose()?;
    let report = context.session.change(vec![Desired { key, value, expect }]).await?;
    Ok(context.finish(report).await)
}

pub async fn view(
    context: &Context,
    kind: Kind,
    action: View,
    name: Option<String>,
) -> Result<i32, Error> {
    let present = context.session.present().await?;
    if action == View::List {
        context.print(&Rows(present.of_kind(kind).cloned().collect()));
        return Ok(0);
    }
    let key = key(kind, name)?;
    let Some(object) = present.rows.get(&key) else { return Err(Error::Absent { key }) };
    // A single row is always printed as JSON, regardless of --json.
    super::print_json(object);
    Ok(0)
}

pub async fn set_service(
    context: &Context,
    kind: Kind,
    action: Service,
    name: &str,
) -> Result<i32, Error> {
    let key = Key { kind, name: name.into() };
    let report = context.session.set_out(key, action == Service::Out).await?;
    Ok(context.finish(report).await)
}

fn key(kind: Kind, name: Option<String>) -> Result<Key, Error> {
    let name = name.ok_or(Error::Missing { what: "NAME" })?;
    Ok(Key { kind, name: name.into() })
}

fn parse_value(key: &Key, value: &str) -> Result<Value, Error> {
    let to_error = |source| Error::Value { key: key.clone(), source };
    serde_json::from_str(&read_argument(value)?).map_err(to_error)
}

/// Returns the argument itself or, for `@FILE`, the content of the file.
fn read_argument(value: &str) -> Result<String, Error> {
    let Some(path) = value.strip_prefix('@') else { return Ok(value.to_owned()) };
    std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.into(), source })
}
