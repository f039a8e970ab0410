//! Epochs of the table: the platform comes back from an older copy of it, in which revisions are
//! given out again.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use std::io::{Read, Write as _};
use std::net::TcpListener;
use std::time::Duration;
use sycamore_platform::prelude::*;
use sycamore_platform::{
    Changes, HttpPlatform, HttpSettings, NativeProtocol, Page, PageQuery, StoreProtocol,
    StoreRequest,
};

type Answer<T> = sycamore_platform::Result<T>;

/// Native protocol with a header field for the epoch and a feed of changes.
struct WithEpoch;

impl StoreProtocol for WithEpoch {
    fn epoch(&self, fields: &HeaderMap) -> Option<u64> {
        fields.get("epoch")?.to_str().ok()?.parse().ok()
    }

    fn get(&self, key: &str) -> StoreRequest {
        NativeProtocol.get(key)
    }

    fn decode_row(&self, key: &str, status: StatusCode, body: &[u8]) -> Answer<Option<Row>> {
        NativeProtocol.decode_row(key, status, body)
    }

    fn list(&self, query: PageQuery<'_>) -> StoreRequest {
        NativeProtocol.list(query)
    }

    fn decode_page(&self, query: PageQuery<'_>, status: StatusCode, body: &[u8]) -> Answer<Page> {
        NativeProtocol.decode_page(query, status, body)
    }

    fn transact(&self, transaction: &Transaction) -> StoreRequest {
        NativeProtocol.transact(transaction)
    }

    fn decode_transaction(
        &self,
        transaction: &Transaction,
        status: StatusCode,
        body: &[u8],
    ) -> Answer<Transacted> {
        NativeProtocol.decode_transaction(transaction, status, body)
    }

    fn changes(&self, _: &str, after: Revision, _: Duration) -> Option<StoreRequest> {
        Some(StoreRequest::get(format!("/changes?after={}", after.0)))
    }

    fn decode_changes(&self, _: &str, _: StatusCode, _: &[u8]) -> Answer<Changes> {
        Ok(Changes { at: Revision(9), ..Changes::default() })
    }

    fn put(&self, key: &str, body: Bytes) -> StoreRequest {
        NativeProtocol.put(key, body)
    }

    fn fetch(&self, key: &str) -> StoreRequest {
        NativeProtocol.fetch(key)
    }

    fn keys(&self, prefix: &str) -> StoreRequest {
        NativeProtocol.keys(prefix)
    }

    fn decode_keys(&self, status: StatusCode, body: &[u8]) -> Answer<Vec<String>> {
        NativeProtocol.decode_keys(status, body)
    }
}

/// Starts a platform that answers one request a connection, each in its epoch, with a committed
/// write of row `k` at revision 4. The thread returns the requests.
fn serve(epochs: Vec<Option<u64>>) -> (HttpPlatform, std::thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = HttpSettings::new(listener.local_addr().unwrap());
    let server = std::thread::spawn(move || {
        let mut requests = Vec::new();
        for epoch in epochs {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buf = [0; 4096];
            let read = stream.read(&mut buf).unwrap();
            requests.push(String::from_utf8_lossy(&buf[..read]).into_owned());
            let body = r#"{"committed":true,"revisions":{"k":4}}"#;
            let epoch = epoch.map_or(String::new(), |epoch| format!("epoch: {epoch}\r\n"));
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\n{epoch}connection: close\r\n");
            write!(stream, "{head}content-length: {length}\r\n\r\n{body}").unwrap();
        }
        requests
    });
    (HttpPlatform::with_protocol(settings, std::rc::Rc::new(WithEpoch)), server)
}

fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(future)
}

fn write_if(revision: Revision) -> Transaction {
    let conditions = vec![Condition { key: "k".to_owned(), revision }];
    Transaction { conditions, writes: Vec::new() }
}

async fn revision_of_k(platform: &HttpPlatform, condition: Revision) -> Result<Revision, Error> {
    match platform.transact(&write_if(condition)).await {
        Ok(Transacted::Committed { revisions }) => Ok(revisions["k"]),
        Ok(other) => panic!("{other:?}"),
        Err(report) => Err(report.current_context().clone()),
    }
}

// Guards against a revision that is given out again and taken for the one that it was before.
#[test]
fn equal_numbers_of_different_epochs_are_different_revisions() {
    let (platform, server) = serve(vec![Some(1), Some(1), Some(2)]);
    run(async {
        let first = revision_of_k(&platform, Revision::ABSENT).await.unwrap();
        let same = revision_of_k(&platform, first).await.unwrap();
        assert_eq!(first, same);
        let later = revision_of_k(&platform, Revision::ABSENT).await.unwrap();
        assert!(later > first, "{later:?} after {first:?}");
        assert_eq!((first.number(), later.number()), (4, 4));
        // A write with the condition of the earlier epoch isn't sent: it could hold by accident.
        let refused = revision_of_k(&platform, first).await.unwrap_err();
        assert_eq!(refused, Error::EarlierEpoch { answered: 1, current: 2 });
        assert!(!refused.may_have_run());
    });
    assert_eq!(server.join().unwrap().len(), 3);
}

// Guards against a compare-and-set that counts as won though its effect is lost: its answer is from
// before the platform came back from an older copy.
#[test]
fn an_answer_of_an_earlier_epoch_counts_for_nothing() {
    let (platform, server) = serve(vec![Some(7), Some(6), None]);
    run(async {
        let mut epochs = platform.epochs();
        epochs.mark_unchanged();
        revision_of_k(&platform, Revision::ABSENT).await.unwrap();
        assert!(epochs.has_changed().unwrap());
        let late = revision_of_k(&platform, Revision::ABSENT).await.unwrap_err();
        assert_eq!(late, Error::EarlierEpoch { answered: 6, current: 7 });
        let untold = revision_of_k(&platform, Revision::ABSENT).await.unwrap();
        assert_eq!(untold.epoch(), 7);
    });
    server.join().unwrap();
}

// Guards against a watch that goes on from a revision of an earlier epoch and misses what was
// written again below it.
#[test]
fn a_watch_does_not_continue_across_epochs() {
    let (platform, server) = serve(vec![Some(1), Some(2)]);
    run(async {
        let wait = Duration::from_millis(10);
        let first = platform.changes("", Revision::ABSENT, wait).await.unwrap();
        assert_eq!(first.at, Revision::new(1, 9));
        let lost = platform.changes("", first.at, wait).await.unwrap_err();
        assert_eq!(*lost.current_context(), Error::HistoryLost);
        // The second time the client knows without asking.
        let lost = platform.changes("", first.at, wait).await.unwrap_err();
        assert_eq!(*lost.current_context(), Error::HistoryLost);
    });
    let requests = server.join().unwrap();
    assert!(requests[1].contains("after=9 "), "{}", requests[1]);
}
