//! Table and object store protocol of `docs/INTERFACES.md`.

use super::protocol::{escape, unexpected, StoreProtocol, StoreRequest};
use crate::error::{Error, Result};
use crate::table::{Conflict, Page, PageQuery, Revision, Row, Transacted, Transaction};
use bytes::Bytes;
use error_stack::Report;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Table and object store protocol of `docs/INTERFACES.md`.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeProtocol;

/// Body of an answer to `POST /table/transact`.
#[derive(Deserialize)]
struct TransactAnswer {
    committed: bool,
    #[serde(default)]
    revisions: BTreeMap<String, Revision>,
    #[serde(default)]
    conflicts: Vec<Conflict>,
}

impl StoreProtocol for NativeProtocol {
    fn get(&self, key: &str) -> StoreRequest {
        StoreRequest::get(format!("/table/row/{}", escape(key)))
    }

    fn decode_row(&self, _: &str, status: StatusCode, body: &[u8]) -> Result<Option<Row>> {
        match status {
            StatusCode::OK => decode(body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    fn list(&self, query: PageQuery<'_>) -> StoreRequest {
        let (prefix, after) = (escape(query.prefix), escape(query.after));
        let limit = query.limit;
        StoreRequest::get(format!("/table/rows?prefix={prefix}&after={after}&limit={limit}"))
    }

    fn decode_page(&self, _: PageQuery<'_>, status: StatusCode, body: &[u8]) -> Result<Page> {
        match status {
            StatusCode::OK => decode(body),
            StatusCode::NOT_FOUND => Ok(Page::default()),
            status => Err(unexpected(status)),
        }
    }

    fn transact(&self, transaction: &Transaction) -> StoreRequest {
        let body = serde_json::to_vec(transaction).expect("transactions serialise");
        let target = "/table/transact".to_owned();
        StoreRequest { method: Method::POST, target, body: body.into(), only_new: false }
    }

    fn decode_transaction(
        &self,
        _: &Transaction,
        status: StatusCode,
        body: &[u8],
    ) -> Result<Transacted> {
        if !matches!(status, StatusCode::OK | StatusCode::CONFLICT) {
            return Err(unexpected(status));
        }
        let answer: TransactAnswer = decode(body)?;
        Ok(match answer.committed {
            true => Transacted::Committed { revisions: answer.revisions },
            false => Transacted::Conflicted { conflicts: answer.conflicts },
        })
    }

    fn put(&self, key: &str, body: Bytes) -> StoreRequest {
        let target = format!("/objects/{}", escape(key));
        StoreRequest { method: Method::PUT, target, body, only_new: true }
    }

    fn fetch(&self, key: &str) -> StoreRequest {
        StoreRequest::get(format!("/objects/{}", escape(key)))
    }

    fn keys(&self, prefix: &str) -> StoreRequest {
        StoreRequest::get(format!("/objects?prefix={}", escape(prefix)))
    }

    fn decode_keys(&self, status: StatusCode, body: &[u8]) -> Result<Vec<String>> {
        match status {
            StatusCode::OK => decode(body),
            StatusCode::NOT_FOUND => Ok(Vec::new()),
            status => Err(unexpected(status)),
        }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| Report::new(Error::Malformed(e.to_string())))
}
