//! HTTP endpoints for callers and for boxes that forward requests.

mod answer;
mod attempts;
mod completions;
mod forwarded;
mod health;
mod job;
mod local;
mod locate;
mod owner_watch;
mod progress;
mod remote;
mod services;
mod stream;
mod vacancy;

use ntex::web::{self, ServiceConfig};

pub use health::not_found;

/// Registers the routes of all endpoints in this module.
pub fn configure(app: &mut ServiceConfig) {
    app.service(
        web::resource("/v1/completions")
            .route(web::post().to(completions::complete))
            .default_service(web::to(health::wrong_method)),
    )
    .service(
        web::resource("/v1/services/{name}/{path}*")
            .route(web::post().to(services::call))
            .default_service(web::to(health::wrong_method)),
    )
    .service(
        web::resource("/v1/locate")
            .route(web::get().to(locate::locate))
            .default_service(web::to(health::wrong_method)),
    )
    .service(
        web::resource("/internal/v1/run")
            .route(web::post().to(forwarded::run))
            .default_service(web::to(health::wrong_method)),
    )
    .route("/healthz", web::get().to(health::healthz))
    .route("/readyz", web::get().to(health::readyz))
    .route("/metrics", web::get().to(health::metrics));
}
