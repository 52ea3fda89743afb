//! The object store: named objects that are created once and never overwritten.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::failure;

/// Result of a create-only put.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Put {
    /// The object was created by this call.
    Created,
    /// An object of that name already exists and is left unchanged.
    Exists,
}

/// An object to create.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Path-like name, with `/` between its segments.
    pub name: String,
    /// Content as UTF-8 text.
    pub content: String,
}

type Call<I, O> = Arc<dyn Fn(I) -> BoxFuture<'static, Result<O, failure::Failure>> + Send + Sync>;

/// Client of the object store.
#[derive(Clone)]
pub struct Objects {
    create: Call<Object, Put>,
    get: Call<String, Option<String>>,
    list: Call<String, Vec<String>>,
}

impl Objects {
    /// Creates a client from three closures: create, get by name, list by prefix.
    pub fn new<C, G, L>(create: C, get: G, list: L) -> Self
    where
        C: Fn(Object) -> BoxFuture<'static, Result<Put, failure::Failure>> + Send + Sync + 'static,
        G: Fn(String) -> BoxFuture<'static, Result<Option<String>, failure::Failure>>
            + Send
            + Sync
            + 'static,
        L: Fn(String) -> BoxFuture<'static, Result<Vec<String>, failure::Failure>>
            + Send
            + Sync
            + 'static,
    {
        Self { create: Arc::new(create), get: Arc::new(get), list: Arc::new(list) }
    }

    /// Creates an object unless one of that name exists.
    ///
    /// # Errors
    ///
    /// Returns the platform's failure. After `Unknown` the call can be retried: it is
    /// idempotent for the same content.
    pub async fn create(&self, object: Object) -> Result<Put, failure::Failure> {
        (self.create)(object).await
    }

    /// Returns the content of an object, or `None` if there is no object of that name.
    ///
    /// # Errors
    ///
    /// After any failure it is not known whether the object exists.
    pub async fn get(&self, name: String) -> Result<Option<String>, failure::Failure> {
        (self.get)(name).await
    }

    /// Returns the names that start with `prefix`, in ascending order.
    ///
    /// # Errors
    ///
    /// Returns the platform's failure; there is no partial result.
    pub async fn list(&self, prefix: String) -> Result<Vec<String>, failure::Failure> {
        (self.list)(prefix).await
    }
}
