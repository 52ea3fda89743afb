//! The object store: whole objects under names, created once.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::failure;

/// What a create-only put found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Put {
    /// The object was created.
    Created,
    /// An object of that name stood there already and stays as it is.
    Exists,
}

/// An object to create.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The name, with `/` between its parts.
    pub name: String,
    /// The content.
    pub content: String,
}

type Call<I, O> = Arc<dyn Fn(I) -> BoxFuture<'static, Result<O, failure::Failure>> + Send + Sync>;

/// The object store.
#[derive(Clone)]
pub struct Objects {
    create: Call<Object, Put>,
    get: Call<String, Option<String>>,
    list: Call<String, Vec<String>>,
}

impl Objects {
    /// Makes an object store of three closures: create, get by name, list by prefix.
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
    /// After `Unknown`, the same call may be repeated: it is idempotent for the same content.
    pub async fn create(&self, object: Object) -> Result<Put, failure::Failure> {
        (self.create)(object).await
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Any failure means that nothing was learnt.
    pub async fn get(&self, name: String) -> Result<Option<String>, failure::Failure> {
        (self.get)(name).await
    }

    /// Lists names that start with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// Any failure means that nothing was learnt.
    pub async fn list(&self, prefix: String) -> Result<Vec<String>, failure::Failure> {
        (self.list)(prefix).await
    }
}
