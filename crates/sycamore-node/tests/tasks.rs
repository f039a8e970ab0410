//! Tests that a task group stops and joins every task spawned on it.

use monoio::{LegacyDriver, RuntimeBuilder};
use std::cell::Cell;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use sycamore_node::tasks::TaskGroup;

/// Runs `test` on an event loop.
fn block_on(test: impl Future<Output = ()>) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("a loop");
    runtime.block_on(test);
}

/// Guard that sets its flag when it is dropped.
struct SetOnDrop(Rc<Cell<bool>>);

impl Drop for SetOnDrop {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

#[test]
fn join_waits_for_every_task() {
    block_on(async {
        let tasks = TaskGroup::default();
        let ended = Rc::new(Cell::new(0));
        for millis in [1, 20, 5] {
            let ended = ended.clone();
            tasks.spawn(async move {
                monoio::time::sleep(std::time::Duration::from_millis(millis)).await;
                ended.set(ended.get() + 1);
            });
        }
        tasks.join().await;
        assert_eq!((ended.get(), tasks.live()), (3, 0));
    });
}

#[test]
fn stop_drops_a_task_that_never_ends_by_itself() {
    block_on(async {
        let tasks = TaskGroup::default();
        let dropped = Rc::new(Cell::new(false));
        let flag = SetOnDrop(dropped.clone());
        tasks.spawn_until_stop(async move {
            let _flag = flag;
            std::future::pending::<()>().await;
        });
        tasks.stop();
        tasks.join().await;
        assert!(dropped.get());
    });
}

/// A subsystem may spawn a task while its group is being stopped; join must not wait for it
/// forever.
#[test]
fn a_task_spawned_after_stop_ends() {
    block_on(async {
        let tasks = TaskGroup::default();
        tasks.stop();
        tasks.spawn_until_stop(std::future::pending());
        tasks.join().await;
    });
}

#[test]
fn join_returns_at_once_on_an_empty_group() {
    block_on(async { TaskGroup::default().join().await });
}

/// Returns the source files under `folder` that contain `text`.
fn sources_with(folder: &Path, text: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            found.extend(sources_with(&path, text));
        } else if std::fs::read_to_string(&path).expect("a source").contains(text) {
            found.push(path);
        }
    }
    found
}

/// A task spawned outside of a group is neither stopped nor joined at shutdown.
#[test]
fn tasks_are_spawned_through_task_groups_only() {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for call in ["monoio::spawn", "thread::spawn", "tokio::spawn"] {
        let found = sources_with(&sources, call);
        let others: Vec<_> = found.iter().filter(|path| !path.ends_with("tasks/mod.rs")).collect();
        assert!(others.is_empty(), "{call} in {others:?}");
    }
}
