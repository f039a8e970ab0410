//! The operator command `config-apply`: validates a bundle, stores its objects and commits its
//! head.

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

/// Number of attempts at one platform request before the command fails.
const MAX_ATTEMPTS: u32 = 4;

/// Body of the command `config-apply`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Request {
    operator: OperatorName,
    op: OpId,
    #[serde(default)]
    expect: Option<ConfigVersion>,
    resources: Value,
}

/// Answer to the command `config-apply`: the head that was committed.
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

/// Current head row, raw and decoded; both fields are `None` while the table has no head row.
struct Current {
    row: Option<Row>,
    stamped: Option<Stamped<HeadRow>>,
}

impl Current {
    fn version(&self) -> ConfigVersion {
        self.stamped.as_ref().map_or(ConfigVersion::default(), |row| row.body.head.version)
    }
}

/// Validates the bundle in `body`, stores it and commits it by compare-and-set on the head row.
///
/// # Errors
/// [`OperatorError`] if the bundle is invalid, another change was committed first or the platform
/// is unavailable.
pub(super) async fn accept(driver: &Driver, body: &[u8]) -> Result<Value, OperatorError> {
    let request: Request =
        serde_json::from_slice(body).map_err(|e| OperatorError::bad_input(e.to_string()))?;
    let bundle = Bundle::from_json(&request.resources).map_err(|faults| bad_bundle(&faults))?;
    let current = read_current(driver).await?;
    if let Some(version) = current.stamped.as_ref().and_then(|row| accepted_by(row, request.op)) {
        // This operation was committed by an earlier attempt whose answer was lost.
        return answer(Encoded::new(bundle.resources(), version).head);
    }
    check_expected(&request, &current)?;
    let encoded = Encoded::new(bundle.resources(), current.version().next());
    let pack = encoded.pack();
    if pack.len() > MAX_PACK_BYTES {
        let size = pack.len();
        let error = format!(
            "the encoded configuration has {size} bytes; at most {MAX_PACK_BYTES} are allowed"
        );
        return Err(OperatorError::bad_input(error));
    }
    let key = object_key(encoded.head.manifest);
    retry(|| driver.platform.http().put(&key, pack.clone())).await.map_err(not_committed)?;
    commit_head(driver, &request, &current, encoded.head).await?;
    driver.accept_pack(encoded.head, pack);
    answer(encoded.head)
}

fn bad_bundle(faults: &[sycamore_config::Fault]) -> OperatorError {
    OperatorError::BadInput {
        error: format!("the configuration has {} faults", faults.len()),
        faults: faults.iter().map(ToString::to_string).collect(),
    }
}

async fn read_current(driver: &Driver) -> Result<Current, OperatorError> {
    let row = retry(|| driver.platform.http().get(HEAD_KEY)).await.map_err(not_committed)?;
    let Some(row) = row else {
        return Ok(Current { row: None, stamped: None });
    };
    match HeadRow::read(&row.value) {
        Some(stamped) => Ok(Current { row: Some(row), stamped: Some(stamped) }),
        None => Err(OperatorError::Unavailable(format!("row {HEAD_KEY} holds no valid head"))),
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

async fn commit_head(
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
        Settled::Unknown { may_have_run: false } => Err(not_committed(())),
        Settled::Unknown { may_have_run: true } => Err(OperatorError::Unavailable(
            "the platform is unavailable; the configuration may be committed: repeat the same op"
                .to_owned(),
        )),
    }
}

fn conflict(row: Option<&HeadRow>, version: ConfigVersion) -> OperatorError {
    let winner = row.map_or_else(|| "nobody".to_owned(), |row| row.operator.to_string());
    let error = format!("the current configuration is version {version} by {winner}");
    OperatorError::Conflict { error, winner }
}

fn not_committed<T>(_: T) -> OperatorError {
    OperatorError::Unavailable(
        "the platform is unavailable; the configuration was not committed".to_owned(),
    )
}

fn answer(head: ConfigHead) -> Result<Value, OperatorError> {
    Ok(serde_json::to_value(Accepted::from(head)).unwrap_or_default())
}

/// Sends an idempotent platform request up to [`MAX_ATTEMPTS`] times, with backoff.
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
        let delay = backoff.record_failure();
        if backoff.failures() >= MAX_ATTEMPTS {
            return Err(report);
        }
        monoio::time::sleep(retry_delay(report.current_context(), delay)).await;
    }
}

fn retry_delay(error: &Error, delay: Duration) -> Duration {
    match error {
        Error::Throttled { wait } => *wait,
        _ => delay,
    }
}
