//! Clients of the platform over HTTP, as described in docs/PLATFORM.md.

use std::time::Duration;

use futures::FutureExt;
use reqwest::StatusCode;
use serde::{Serialize, de};

use crate::{Platform, failure, object, rating, table, vm, weight};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Body of a 409 response to a commit.
#[derive(Debug, Serialize, serde::Deserialize)]
pub struct Conflict {
    /// The current state of the rows whose revision differs.
    pub rows: Vec<table::Row>,
}

/// Creates the clients of the platform at `base`, such as `http://127.0.0.1:7000`.
///
/// # Errors
///
/// Fails if the HTTP client can't be created.
pub fn connect(base: &str) -> Result<Platform, failure::Failure> {
    let http = reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .build()
        .map_err(|error| not_applied(&error))?;
    let client = Client { http, base: base.trim_end_matches('/').to_owned() };
    Ok(Platform {
        table: tables(&client),
        objects: objects(&client),
        vms: vms(&client),
        ratings: ratings(&client),
        weights: weights(&client),
    })
}

#[derive(Clone)]
struct Client {
    http: reqwest::Client,
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
        let sent = self.http.post(self.url(path)).json(input).send().await;
        decode_response(sent.map_err(|error| send_failure(&error))?).await
    }
}

async fn decode_response<O>(response: reqwest::Response) -> Result<O, failure::Failure>
where
    O: de::DeserializeOwned,
{
    match response.status() {
        StatusCode::CONFLICT => {
            let conflict: Conflict = response.json().await.map_err(|error| not_applied(&error))?;
            Err(failure::Failure::Conflict { rows: conflict.rows })
        }
        status if status.is_success() => response.json().await.map_err(|error| unknown(&error)),
        // The platform sends 429 and 503 only before it executes a call.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(failure::Failure::NotApplied { detail: response.status().to_string() })
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

fn tables(client: &Client) -> table::Table {
    let (commit, read) = (client.clone(), client.clone());
    table::Table::new(
        move |transaction| {
            let client = commit.clone();
            async move { client.post("/v1/tables/commit", &transaction).await }.boxed()
        },
        move |query| {
            let client = read.clone();
            async move { client.post("/v1/tables/read", &query).await }.boxed()
        },
    )
}

fn objects(client: &Client) -> object::Objects {
    let (create, get, list) = (client.clone(), client.clone(), client.clone());
    object::Objects::new(
        move |object| {
            let client = create.clone();
            async move { create_object(&client, object).await }.boxed()
        },
        move |name| {
            let client = get.clone();
            async move { get_object(&client, &name).await }.boxed()
        },
        move |prefix| {
            let client = list.clone();
            async move { client.post("/v1/objects/list", &prefix).await }.boxed()
        },
    )
}

async fn create_object(
    client: &Client,
    object: object::Object,
) -> Result<object::Put, failure::Failure> {
    let url = client.url(&format!("/v1/objects/{}", object.name));
    let put = client.http.put(url).header("if-none-match", "*").body(object.content);
    let response = put.send().await.map_err(|error| send_failure(&error))?;
    match response.status() {
        StatusCode::PRECONDITION_FAILED => Ok(object::Put::Exists),
        status if status.is_success() => Ok(object::Put::Created),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(failure::Failure::NotApplied { detail: response.status().to_string() })
        }
        status => Err(failure::Failure::Unknown { detail: status.to_string() }),
    }
}

async fn get_object(client: &Client, name: &str) -> Result<Option<String>, failure::Failure> {
    let url = client.url(&format!("/v1/objects/{name}"));
    let response = client.http.get(url).send().await.map_err(|error| send_failure(&error))?;
    match response.status() {
        StatusCode::NOT_FOUND => Ok(None),
        status if status.is_success() => {
            Ok(Some(response.text().await.map_err(|error| unknown(&error))?))
        }
        status => Err(failure::Failure::NotApplied { detail: status.to_string() }),
    }
}

fn vms(client: &Client) -> vm::Vms {
    let list = client.clone();
    vm::Vms::new(move || {
        let client = list.clone();
        async move {
            let sent = client.http.get(client.url("/v1/vms")).send().await;
            decode_response(sent.map_err(|error| send_failure(&error))?).await
        }
        .boxed()
    })
}

fn ratings(client: &Client) -> rating::Ratings {
    let rate = client.clone();
    rating::Ratings::new(move |request| {
        let client = rate.clone();
        async move { client.post("/v1/ratings", &request).await }.boxed()
    })
}

fn weights(client: &Client) -> weight::Weights {
    let client = client.clone();
    weight::Weights::new(move |reservation| {
        let client = client.clone();
        async move { client.post("/v1/weights/reserve", &reservation).await }.boxed()
    })
}
