//! Accepting a configuration: the operators' command `config-apply`.

use super::driver::Driver;
use crate::operator::OperatorError;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::Duration;
use sycamore_config::head::{accepted_by, HEAD_KEY};
use sycamore_config::manifest::{object_key, MAX_PACK_BYTES};
use sycamore_config::{Bundle, Encoded, HeadRow};
use sycamore_platform::backoff::{Backoff, BackoffSettings};
use sycamore_platform::settle::{SettleSettings, Stamped};
use sycamore_platform::{propose, Error, Objects, Proposal, Row, Settled, Table};
use sycamore_types::prelude::*;

/// Tries of a request to the platform before the command fails.
const TRIES: u32 = 4;

/// The command's body.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Request {
    operator: OperatorName,
    op: OpId,
    #[serde(default)]
    expect: Option<ConfigVersion>,
    resources: Value,
}

/// The command's answer.
#[derive(Serialize)]
struct Accepted {
    version: ConfigVersion,
    manifest: ContentHash,
}

impl From<ConfigHead> for Accepted {
    fn from(head: ConfigHead) -> Self {
        Self { version: head.version, manifest: head.manifest }
    }
}

/// The head row as read, with what it says.
struct Current {
    row: Option<Row>,
    stamped: Option<Stamped<HeadRow>>,
}

impl Current {
    fn version(&self) -> ConfigVersion {
        self.stamped.as_ref().map_or(ConfigVersion::default(), |row| row.body.head.version)
    }
}

/// Checks the bundle in `body` and has it accepted by compare-and-set on the head row.
///
/// # Errors
/// [`OperatorError`] where the bundle is faulty, somebody else won or the platform is out.
pub(super) async fn accept(driver: &Driver, body: &[u8]) -> Result<Value, OperatorError> {
    let request: Request =
        serde_json::from_slice(body).map_err(|e| OperatorError::bad_input(e.to_string()))?;
    let bundle = Bundle::from_json(&request.resources).map_err(|faults| bad_bundle(&faults))?;
    let current = read_current(driver).await?;
    if let Some(version) = current.stamped.as_ref().and_then(|row| accepted_by(row, request.op)) {
        // The same operation was accepted before and its answer was lost.
        return answer(Encoded::new(bundle.resources(), version).head);
    }
    check_expected(&request, &current)?;
    let encoded = Encoded::new(bundle.resources(), current.version().next());
    let pack = encoded.pack();
    if pack.len() > MAX_PACK_BYTES {
        let error = format!("{} bytes, at most {MAX_PACK_BYTES} are allowed", pack.len());
        return Err(OperatorError::bad_input(error));
    }
    let key = object_key(encoded.head.manifest);
    retry(|| driver.platform.http().put(&key, pack.clone())).await.map_err(unchanged)?;
    settle(driver, &request, &current, encoded.head).await?;
    driver.given(encoded.head, pack);
    answer(encoded.head)
}

fn bad_bundle(faults: &[sycamore_config::Fault]) -> OperatorError {
    OperatorError::BadInput {
        error: format!("the configuration has {} faults", faults.len()),
        faults: faults.iter().map(ToString::to_string).collect(),
    }
}

async fn read_current(driver: &Driver) -> Result<Current, OperatorError> {
    let row = retry(|| driver.platform.http().get(HEAD_KEY)).await.map_err(unchanged)?;
    let Some(row) = row else {
        return Ok(Current { row: None, stamped: None });
    };
    match HeadRow::read(&row.value) {
        Some(stamped) => Ok(Current { row: Some(row), stamped: Some(stamped) }),
        None => Err(OperatorError::Unavailable("the head row can't be read".to_owned())),
    }
}

fn check_expected(request: &Request, current: &Current) -> Result<(), OperatorError> {
    match request.expect {
        Some(expected) if expected != current.version() => {
            Err(conflict(current.stamped.as_ref().map(|row| &row.body), current.version()))
        }
        _ => Ok(()),
    }
}

async fn settle(
    driver: &Driver,
    request: &Request,
    current: &Current,
    head: ConfigHead,
) -> Result<(), OperatorError> {
    let row = HeadRow { head, operator: request.operator.clone() };
    let proposal = Proposal {
        key: HEAD_KEY,
        base: current.row.as_ref(),
        op: request.op,
        body: serde_json::to_value(row).unwrap_or_default(),
        conditions: Vec::new(),
        writes: Vec::new(),
    };
    let settings = SettleSettings::default();
    match propose(driver.platform.http(), proposal, &settings, rand::random()).await {
        Settled::Won { .. } => Ok(()),
        Settled::Lost { winner } => {
            let row = winner.value.as_ref().and_then(HeadRow::read).map(|row| row.body);
            let version = row.as_ref().map_or(current.version(), |row| row.head.version);
            Err(conflict(row.as_ref(), version))
        }
        Settled::Unknown { may_have_run: false } => Err(unchanged(())),
        Settled::Unknown { may_have_run: true } => Err(OperatorError::Unavailable(
            "the platform is out; the change may have been accepted: send the same op again"
                .to_owned(),
        )),
    }
}

fn conflict(row: Option<&HeadRow>, version: ConfigVersion) -> OperatorError {
    let winner = row.map_or_else(|| "nobody".to_owned(), |row| row.operator.to_string());
    let error = format!("version {version} by {winner} is current");
    OperatorError::Conflict { error, winner }
}

fn unchanged<T>(_: T) -> OperatorError {
    OperatorError::Unavailable("the platform is out; nothing was changed".to_owned())
}

fn answer(head: ConfigHead) -> Result<Value, OperatorError> {
    Ok(serde_json::to_value(Accepted::from(head)).unwrap_or_default())
}

/// Tries an idempotent request a few times.
async fn retry<T, F>(request: impl Fn() -> F) -> sycamore_platform::Result<T>
where
    F: std::future::Future<Output = sycamore_platform::Result<T>>,
{
    let mut backoff = Backoff::new(BackoffSettings::default(), rand::random());
    loop {
        let report = match request().await {
            Ok(answer) => return Ok(answer),
            Err(report) => report,
        };
        let delay = backoff.fail();
        if backoff.failures() >= TRIES {
            return Err(report);
        }
        monoio::time::sleep(wait(report.current_context(), delay)).await;
    }
}

fn wait(error: &Error, delay: Duration) -> Duration {
    match error {
        Error::Throttled { wait } => *wait,
        _ => delay,
    }
}
