//! HTTP interface of the in-memory platform.

use std::net::SocketAddr;

use ibishill_platform::{failure, http, object, rating, table, vm, weight};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, figment, get, post, put, routes};

use crate::memory;

type Response<T> = Result<Json<T>, (Status, Json<http::Conflict>)>;

fn respond<T>(result: Result<T, failure::Failure>) -> Response<T> {
    let empty = || Json(http::Conflict { rows: Vec::new() });
    match result {
        Ok(value) => Ok(Json(value)),
        Err(failure::Failure::NotApplied { .. }) => Err((Status::ServiceUnavailable, empty())),
        Err(failure::Failure::Unknown { .. }) => Err((Status::GatewayTimeout, empty())),
        Err(failure::Failure::Conflict { rows }) => {
            Err((Status::Conflict, Json(http::Conflict { rows })))
        }
    }
}

#[post("/v1/tables/commit", data = "<transaction>")]
async fn commit(
    memory: &State<memory::Memory>,
    transaction: Json<table::Transaction>,
) -> Response<()> {
    respond(memory.commit(transaction.into_inner()).await)
}

#[post("/v1/tables/read", data = "<query>")]
async fn read(
    memory: &State<memory::Memory>,
    query: Json<table::Query>,
) -> Response<Vec<table::Row>> {
    respond(memory.read(query.into_inner()).await)
}

#[put("/v1/objects/<name..>", data = "<content>")]
async fn create(
    memory: &State<memory::Memory>,
    name: std::path::PathBuf,
    content: String,
) -> Status {
    let name = name.to_string_lossy().into_owned();
    match memory.create(object::Object { name, content }).await {
        Ok(object::Put::Created) => Status::Created,
        Ok(object::Put::Exists) => Status::PreconditionFailed,
        Err(failure::Failure::Unknown { .. }) => Status::GatewayTimeout,
        Err(_) => Status::ServiceUnavailable,
    }
}

#[get("/v1/objects/<name..>")]
async fn get_object(
    memory: &State<memory::Memory>,
    name: std::path::PathBuf,
) -> Result<String, Status> {
    let found = memory.get(name.to_string_lossy().into_owned()).await;
    found.map_err(|_| Status::ServiceUnavailable)?.ok_or(Status::NotFound)
}

#[post("/v1/objects/list", data = "<prefix>")]
async fn list(memory: &State<memory::Memory>, prefix: Json<String>) -> Response<Vec<String>> {
    respond(memory.list(prefix.into_inner()).await)
}

#[get("/v1/vms")]
async fn vms(memory: &State<memory::Memory>) -> Response<Vec<vm::Vm>> {
    respond(memory.vms().await)
}

#[post("/v1/ratings", data = "<question>")]
async fn rate(
    memory: &State<memory::Memory>,
    question: Json<rating::Request>,
) -> Response<rating::Rating> {
    respond(memory.rate(question.into_inner()).await)
}

#[post("/v1/weights/reserve", data = "<ask>")]
async fn reserve(
    memory: &State<memory::Memory>,
    ask: Json<weight::Reservation>,
) -> Response<weight::Grant> {
    respond(memory.reserve(ask.into_inner()).await)
}

#[put("/faults", data = "<faults>")]
fn set_faults(memory: &State<memory::Memory>, faults: Json<memory::Faults>) -> Status {
    memory.set_faults(faults.into_inner());
    Status::NoContent
}

#[put("/vms", data = "<vms>")]
fn set_vms(memory: &State<memory::Memory>, vms: Json<Vec<vm::Vm>>) -> Status {
    memory.set_vms(vms.into_inner());
    Status::NoContent
}

#[get("/counts")]
fn counts(memory: &State<memory::Memory>) -> Json<memory::Counts> {
    Json(memory.counts())
}

/// Builds the platform's HTTP server, listening on `address`.
pub fn server(memory: memory::Memory, address: SocketAddr) -> rocket::Rocket<rocket::Build> {
    let api = routes![commit, read, create, get_object, list, vms, rate, reserve];
    let control = routes![set_faults, set_vms, counts];
    rocket::custom(rocket_config(address)).manage(memory).mount("/", api).mount("/", control)
}

/// Rocket configuration of a stand-in that listens on `address` and logs nothing.
pub fn rocket_config(address: SocketAddr) -> figment::Figment {
    rocket::Config::figment()
        .merge(("address", address.ip().to_string()))
        .merge(("port", address.port()))
        .merge(("log_level", "off"))
        .merge(("workers", 2))
        .merge(("shutdown.ctrlc", false))
}
