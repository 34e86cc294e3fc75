//! The connections of clients that are between two requests: when places run out, the one that has been so for
//! longest gives its own up. Each is asked once, and one whose next request crosses the question passes it on.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// All connections that rest, those that have rested for longest first.
#[derive(Default)]
pub struct Resting(Mutex<Inner>);

#[derive(Default)]
struct Inner {
    next: u64,
    asked_first: BTreeMap<u64, oneshot::Sender<()>>,
    /// A newcomer waits for a place and none rested when it came: the next that does gives its own up.
    wanted: bool,
}

impl Resting {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection begins to rest, until what it is given is dropped.
    pub fn begin(self: &Arc<Self>) -> Rest {
        let (ask, asked) = oneshot::channel();
        let mut inner = self.inner();
        let number = inner.next;
        inner.next += 1;
        if std::mem::take(&mut inner.wanted) {
            // It is asked as it begins; nobody else has to be told.
            let _ = ask.send(());
        } else {
            inner.asked_first.insert(number, ask);
        }
        drop(inner);
        Rest {
            resting: self.clone(),
            number,
            asked,
            closes: false,
        }
    }

    /// Asks the one that has rested for longest to close; `false` where none rests.
    pub fn ask(&self) -> bool {
        let longest = self.inner().asked_first.pop_first();
        // One that was dropped in this moment has taken itself off before.
        longest.is_some_and(|(_, ask)| ask.send(()).is_ok())
    }

    /// The same for a newcomer that has no place: where none rests, the next that begins to is asked.
    pub fn ask_or_wait(&self) {
        let asked = self.ask();
        self.inner().wanted = !asked;
    }

    /// The newcomer has its place.
    pub fn satisfied(&self) {
        self.inner().wanted = false;
    }
}

/// A connection's time between two requests.
pub struct Rest {
    resting: Arc<Resting>,
    number: u64,
    asked: oneshot::Receiver<()>,
    closes: bool,
}

impl Rest {
    /// Waits until the connection is asked to close.
    pub async fn asked(&mut self) {
        if (&mut self.asked).await.is_err() {
            std::future::pending().await
        }
    }

    /// It closes, whether it was asked or not.
    pub fn closes(mut self) {
        self.closes = true;
    }
}

impl Drop for Rest {
    fn drop(&mut self) {
        let rested = self
            .resting
            .inner()
            .asked_first
            .remove(&self.number)
            .is_some();
        // Asked and yet busy again: the place is wanted still, from the next.
        if !rested && !self.closes {
            self.resting.ask();
        }
    }
}

#[cfg(test)]
#[path = "../tests/parts/resting.rs"]
mod tests;
