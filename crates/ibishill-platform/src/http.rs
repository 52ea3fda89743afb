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
        .map_err(|error| not_applied(&error))?;
    let caller = Client { client, base: base.trim_end_matches('/').to_owned() };
    Ok(Platform {
        table: tables(&caller),
        objects: objects(&caller),
        vms: vms(&caller),
        ratings: ratings(&caller),
        weights: weights(&caller),
    })
}

#[derive(Clone)]
struct Client {
    client: reqwest::Client,
    base: String,
}

impl Client {
    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    async fn post<I, O>(&self, path: &str, input: &I) -> Result<O, failure::Failure>
    where
        I: Serialize + Sync,
        O: de::DeserializeOwned,
    {
        let sent = self.client.post(self.url(path)).json(input).send().await;
        decode_response(sent.map_err(|error| send_failure(&error))?).await
    }
}

async fn decode_response<O>(answer: reqwest::Response) -> Result<O, failure::Failure>
where
    O: de::DeserializeOwned,
{
    match answer.status() {
        StatusCode::CONFLICT => {
            let conflict: Conflict = answer.json().await.map_err(|error| not_applied(&error))?;
            Err(failure::Failure::Conflict { rows: conflict.rows })
        }
        status if status.is_success() => answer.json().await.map_err(|error| unknown(&error)),
        // The platform answers 429 and 503 before it does anything.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(failure::Failure::NotApplied { detail: answer.status().to_string() })
        }
        status if status.is_client_error() => {
            Err(failure::Failure::NotApplied { detail: status.to_string() })
        }
        status => Err(failure::Failure::Unknown { detail: status.to_string() }),
    }
}

fn send_failure(error: &reqwest::Error) -> failure::Failure {
    if error.is_connect() { not_applied(error) } else { unknown(error) }
}

fn not_applied(error: &reqwest::Error) -> failure::Failure {
    failure::Failure::NotApplied { detail: error.to_string() }
}

fn unknown(error: &reqwest::Error) -> failure::Failure {
    failure::Failure::Unknown { detail: error.to_string() }
}

fn tables(caller: &Client) -> table::Table {
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

fn objects(caller: &Client) -> object::Objects {
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
    caller: &Client,
    object: object::Object,
) -> Result<object::Put, failure::Failure> {
    let url = caller.url(&format!("/v1/objects/{}", object.name));
    let put = caller.client.put(url).header("if-none-match", "*").body(object.content);
    let answer = put.send().await.map_err(|error| send_failure(&error))?;
    match answer.status() {
        StatusCode::PRECONDITION_FAILED => Ok(object::Put::Exists),
        status if status.is_success() => Ok(object::Put::Created),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(failure::Failure::NotApplied { detail: answer.status().to_string() })
        }
        status => Err(failure::Failure::Unknown { detail: status.to_string() }),
    }
}

async fn get_object(caller: &Client, name: &str) -> Result<Option<String>, failure::Failure> {
    let url = caller.url(&format!("/v1/objects/{name}"));
    let answer = caller.client.get(url).send().await.map_err(|error| send_failure(&error))?;
    match answer.status() {
        StatusCode::NOT_FOUND => Ok(None),
        status if status.is_success() => {
            Ok(Some(answer.text().await.map_err(|error| unknown(&error))?))
        }
        status => Err(failure::Failure::NotApplied { detail: status.to_string() }),
    }
}

fn vms(caller: &Client) -> vm::Vms {
    let list = caller.clone();
    vm::Vms::new(move || {
        let caller = list.clone();
        async move {
            let sent = caller.client.get(caller.url("/v1/vms")).send().await;
            decode_response(sent.map_err(|error| send_failure(&error))?).await
        }
        .boxed()
    })
}

fn ratings(caller: &Client) -> rating::Ratings {
    let rate = caller.clone();
    rating::Ratings::new(move |question| {
        let caller = rate.clone();
        async move { caller.post("/v1/ratings", &question).await }.boxed()
    })
}

fn weights(caller: &Client) -> weight::Weights {
    let caller = caller.clone();
    weight::Weights::new(move |ask| {
        let caller = caller.clone();
        async move { caller.post("/v1/weights/reserve", &ask).await }.boxed()
    })
}
