//! Task groups: structured concurrency in which a parent stops and joins its tasks.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

/// Group of tasks that their parent stops and joins.
pub struct TaskGroup {
    live: Rc<Live>,
    stop: watch::Sender<bool>,
}

#[derive(Default)]
struct Live {
    count: Cell<usize>,
    idle: Notify,
}

impl Default for TaskGroup {
    fn default() -> Self {
        Self { live: Rc::default(), stop: watch::Sender::new(false) }
    }
}

/// Stop signal of a [`TaskGroup`].
#[derive(Clone)]
pub struct Stop(watch::Receiver<bool>);

impl Stop {
    /// Waits until the group is told to stop.
    pub async fn wait(&mut self) {
        // An error means that the group was dropped, which also stops its tasks.
        let _ = self.0.wait_for(|stop| *stop).await;
    }

    /// Returns whether the group has been told to stop.
    pub fn is_stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Runs `future` to its end; `None` if the group is told to stop first.
    pub async fn or<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        futures::pin_mut!(future);
        let stopped = self.wait();
        futures::pin_mut!(stopped);
        match futures::future::select(future, stopped).await {
            futures::future::Either::Left((output, _)) => Some(output),
            futures::future::Either::Right(_) => None,
        }
    }
}

/// Guard that counts a task as live until it is dropped.
struct Guard(Rc<Live>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        if self.0.count.get() == 0 {
            self.0.idle.notify_waiters();
        }
    }
}

impl TaskGroup {
    /// Spawns `task` on the event loop; [`TaskGroup::join`] waits for it.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.live.count.set(self.live.count.get() + 1);
        let guard = Guard(self.live.clone());
        monoio::spawn(async move {
            let _guard = guard;
            task.await;
        });
    }

    /// Spawns `task`, which runs until it ends or the group is told to stop, whichever is first.
    pub fn spawn_until_stop(&self, task: impl Future<Output = ()> + 'static) {
        let mut stop = self.stop_signal();
        self.spawn(async move {
            stop.or(task).await;
        });
    }

    /// Returns the number of tasks that have not ended.
    pub fn live(&self) -> usize {
        self.live.count.get()
    }

    /// Creates a receiver of the signal that [`TaskGroup::stop`] sends.
    pub fn stop_signal(&self) -> Stop {
        Stop(self.stop.subscribe())
    }

    /// Tells every task of the group to end, also those spawned later.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until every task of the group has ended.
    pub async fn join(&self) {
        loop {
            let idle = self.live.idle.notified();
            if self.live.count.get() == 0 {
                return;
            }
            idle.await;
        }
    }
}
