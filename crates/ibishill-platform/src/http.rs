//! The platform over HTTP, as docs/PLATFORM.md describes it.

use std::time::Duration;

use futures::FutureExt;
use reqwest::StatusCode;
use serde::{Serialize, de};

use crate::{Platform, failure, object, rating, table, vm, weight};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Body of a conflict.
#[derive(Debug, Serialize, serde::Deserialize)]
pub struct Conflict {
    /// The rows whose revision differs, as they are now.
    pub rows: Vec<table::Row>,
}

/// Connects to the platform at `base`, such as `http://127.0.0.1:7000`.
///
/// # Errors
///
/// Fails if the HTTP client can't be set up.
pub fn connect(base: &str) -> Result<Platform, failure::Failure> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .build()
        .map_err(|error| not_done(&error))?;
    let caller = Caller { client, base: base.trim_end_matches('/').to_owned() };
    Ok(Platform {
        table: tables(&caller),
        objects: objects(&caller),
        vms: vms(&caller),
        ratings: ratings(&caller),
        weights: weights(&caller),
    })
}

#[derive(Clone)]
struct Caller {
    client: reqwest::Client,
    base: String,
}

impl Caller {
    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    async fn post<I, O>(&self, path: &str, input: &I) -> Result<O, failure::Failure>
    where
        I: Serialize + Sync,
        O: de::DeserializeOwned,
    {
        let sent = self.client.post(self.url(path)).json(input).send().await;
        read_answer(sent.map_err(|error| lost(&error))?).await
    }
}

async fn read_answer<O>(answer: reqwest::Response) -> Result<O, failure::Failure>
where
    O: de::DeserializeOwned,
{
    match answer.status() {
        StatusCode::CONFLICT => {
            let conflict: Conflict = answer.json().await.map_err(|error| not_done(&error))?;
            Err(failure::Failure::Conflict { rows: conflict.rows })
        }
        status if status.is_success() => answer.json().await.map_err(|error| unknown(&error)),
        // The platform answers 429 and 503 before it does anything.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(failure::Failure::NotDone { detail: answer.status().to_string() })
        }
        status if status.is_client_error() => {
            Err(failure::Failure::NotDone { detail: status.to_string() })
        }
        status => Err(failure::Failure::Unknown { detail: status.to_string() }),
    }
}

fn lost(error: &reqwest::Error) -> failure::Failure {
    if error.is_connect() { not_done(error) } else { unknown(error) }
}

fn not_done(error: &reqwest::Error) -> failure::Failure {
    failure::Failure::NotDone { detail: error.to_string() }
}

fn unknown(error: &reqwest::Error) -> failure::Failure {
    failure::Failure::Unknown { detail: error.to_string() }
}

fn tables(caller: &Caller) -> table::Table {
    let (commit, read) = (caller.clone(), caller.clone());
    table::Table::new(
        move |transaction| {
            let caller = commit.clone();
            async move { caller.post("/v1/tables/commit", &transaction).await }.boxed()
        },
        move |query| {
            let caller = read.clone();
            async move { caller.post("/v1/tables/read", &query).await }.boxed()
        },
    )
}

fn objects(caller: &Caller) -> object::Objects {
    let (create, get, list) = (caller.clone(), caller.clone(), caller.clone());
    object::Objects::new(
        move |object| {
            let caller = create.clone();
            async move { create_object(&caller, object).await }.boxed()
        },
        move |name| {
            let caller = get.clone();
            async move { get_object(&caller, &name).await }.boxed()
        },
        move |prefix| {
            let caller = list.clone();
            async move { caller.post("/v1/objects/list", &prefix).await }.boxed()
        },
    )
}

async fn create_object(
    caller: &Caller,
    object: object::Object,
) -> Result<object::Put, failure::Failure> {
    let url = caller.url(&format!("/v1/objects/{}", object.name));
    let put = caller.client.put(url).header("if-none-match", "*").body(object.content);
    let answer = put.send().await.map_err(|error| lost(&error))?;
    match answer.status() {
        StatusCode::PRECONDITION_FAILED => Ok(object::Put::Exists),
        status if status.is_success() => Ok(object::Put::Created),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(failure::Failure::NotDone { detail: answer.status().to_string() })
        }
        status => Err(failure::Failure::Unknown { detail: status.to_string() }),
    }
}

async fn get_object(caller: &Caller, name: &str) -> Result<Option<String>, failure::Failure> {
    let url = caller.url(&format!("/v1/objects/{name}"));
    let answer = caller.client.get(url).send().await.map_err(|error| lost(&error))?;
    match answer.status() {
        StatusCode::NOT_FOUND => Ok(None),
        status if status.is_success() => {
            Ok(Some(answer.text().await.map_err(|error| unknown(&error))?))
        }
        status => Err(failure::Failure::NotDone { detail: status.to_string() }),
    }
}

fn vms(caller: &Caller) -> vm::Vms {
    let list = caller.clone();
    vm::Vms::new(move || {
        let caller = list.clone();
        async move {
            let sent = caller.client.get(caller.url("/v1/vms")).send().await;
            read_answer(sent.map_err(|error| lost(&error))?).await
        }
        .boxed()
    })
}

fn ratings(caller: &Caller) -> rating::Ratings {
    let rate = caller.clone();
    rating::Ratings::new(move |question| {
        let caller = rate.clone();
        async move { caller.post("/v1/ratings", &question).await }.boxed()
    })
}

fn weights(caller: &Caller) -> weight::Weights {
    let caller = caller.clone();
    weight::Weights::new(move |ask| {
        let caller = caller.clone();
        async move { caller.post("/v1/weights/reserve", &ask).await }.boxed()
    })
}
