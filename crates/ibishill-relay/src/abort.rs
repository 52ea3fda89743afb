//! Ends a caller's connection from outside of the task that serves it.
//!
//! A caller that reads nothing keeps the connection from writing, so that the end of a response, or its
//! error, would never be looked at.

use std::rc::Rc;

use tokio::sync::Notify;

/// Handle of a connection; clones name the same one.
#[derive(Clone, Default)]
pub(crate) struct Abort(Rc<Notify>);

impl Abort {
    /// Has the connection closed, whatever it still has to send.
    pub(crate) fn request(&self) {
        self.0.notify_one();
    }

    /// Completes once that was requested.
    pub(crate) async fn requested(&self) {
        self.0.notified().await;
    }
}
