//! HTTP server for callers: chat completions, models, plain services and health checks.

mod active;
mod auth;
mod body;
mod chat;
pub mod chat_request;
mod health;
mod idempotency;
mod models;
mod pin;
mod reply;
mod service;
mod stream;

use std::sync::Arc;

use rocket::fairing::AdHoc;
use rocket::{catchers, routes};

use crate::context;

/// The daemon's context, as Rocket's managed state.
pub(crate) type Shared = Arc<context::Context>;

/// Builds the HTTP server, which listens on the configured address for callers.
pub fn server(context: Shared) -> rocket::Rocket<rocket::Build> {
    let address = context.settings.callers;
    let figment = rocket::Config::figment()
        .merge(("address", address.ip().to_string()))
        .merge(("port", address.port()))
        .merge(("log_level", "off"))
        .merge(("ident", "ibishill"))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()));
    rocket::custom(figment)
        .manage(context)
        .mount("/", routes![chat::completions, models::list])
        .mount("/", routes![health::live, health::ready, health::metrics])
        .mount("/svc", service::routes())
        .register("/", catchers![reply::fallback])
}

/// Calls `notify` with the server's shutdown handle once the server listens.
pub fn on_open<N>(server: rocket::Rocket<rocket::Build>, notify: N) -> rocket::Rocket<rocket::Build>
where
    N: FnOnce(rocket::Shutdown) + Send + Sync + 'static,
{
    server.attach(AdHoc::on_liftoff("opened", |rocket| {
        notify(rocket.shutdown());
        Box::pin(async {})
    }))
}
