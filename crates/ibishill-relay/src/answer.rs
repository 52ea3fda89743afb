//! Buffers answers of endpoints within a limit that all of them share.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::upstream::CallError;

/// Memory for answers that are being read, in bytes.
const SHARED_MAX: usize = 16 * 1_024 * 1_024;

/// Memory that answers occupy while they are read.
#[derive(Debug, Clone, Default)]
pub(crate) struct Buffers(Rc<Cell<usize>>);

/// Memory of one answer, released when dropped.
struct Share {
    buffers: Buffers,
    size: usize,
}

impl Share {
    // Grows the share unless it exceeds what the others leave free: an answer without end is given
    // up while there is room for ordinary ones.
    fn grow(&mut self, bytes: usize) -> bool {
        let used = self.buffers.0.get() + bytes;
        let size = self.size + bytes;
        if size > SHARED_MAX.saturating_sub(used) {
            return false;
        }
        self.buffers.0.set(used);
        self.size = size;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.buffers.0.set(self.buffers.0.get() - self.size);
    }
}

impl Buffers {
    /// Reads an endpoint's whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer is truncated or takes too much of the shared memory.
    pub(crate) async fn read(&self, mut body: Incoming) -> Result<Bytes, CallError> {
        let mut share = Share { buffers: self.clone(), size: 0 };
        let mut content = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| CallError::Unknown(error.to_string()))?;
            let data = frame.into_data().unwrap_or_default();
            if !share.grow(data.len()) {
                let detail = format!("the answer exceeds the memory left, {} bytes", share.size);
                return Err(CallError::Unknown(detail));
            }
            content.extend_from_slice(&data);
        }
        Ok(content.freeze())
    }
}
