//! Schemas of the two kinds of documents, settings and declarations.

use std::net::SocketAddr;

use ibishill_core::{cost, id, repeat, time};

use crate::shape::{Field, Shape, fields, optional, required, scalar};
use crate::{declared, key, settings};

const TEXT: Shape = Shape::Scalar(scalar::<String>);
const FLAG: Shape = Shape::Scalar(scalar::<bool>);
const COUNT: Shape = Shape::Scalar(scalar::<u32>);
const BYTES: Shape = Shape::Scalar(scalar::<u64>);
const SHARE: Shape = Shape::Scalar(scalar::<f64>);
const PRICE: Shape = Shape::Scalar(scalar::<cost::Micros>);
const SPAN: Shape = Shape::Scalar(scalar::<time::Millis>);
const ADDRESS: Shape = Shape::Scalar(scalar::<SocketAddr>);
const ZONE: Shape = Shape::Scalar(scalar::<id::ZoneId>);
const VERSION: Shape = Shape::Scalar(scalar::<id::VersionRef>);
const STATE: Shape = Shape::Scalar(scalar::<declared::AdminState>);
const HASH: Shape = Shape::Scalar(scalar::<key::KeyHash>);
const VERSIONS: Shape = Shape::List(&VERSION);
const SERVICES: Shape = Shape::List(&Shape::Scalar(scalar::<id::ServiceId>));

/// Schema of declarations.
pub(crate) const DECLARED: Shape = Shape::Struct(
    fields::<declared::Declared>,
    &[
        optional("policy", Shape::Scalar(scalar::<declared::Policy>)),
        optional("zones", Shape::Map(scalar::<id::ZoneId>, &ZONE_FIELDS)),
        optional("versions", Shape::Map(scalar::<id::VersionRef>, &VERSION_FIELDS)),
        optional("workspaces", Shape::Map(scalar::<id::WorkspaceId>, &WORKSPACE_FIELDS)),
        optional("endpoints", Shape::Map(scalar::<id::EndpointId>, &ENDPOINT_FIELDS)),
        optional("services", Shape::Map(scalar::<id::ServiceId>, &SERVICE_FIELDS)),
        optional("rollouts", Shape::Map(scalar::<id::RolloutId>, &ROLLOUT_FIELDS)),
    ],
);

const ZONE_FIELDS: Shape = Shape::Struct(
    fields::<declared::Zone>,
    &[required("region", Shape::Scalar(scalar::<id::RegionId>)), optional("state", STATE)],
);

const VERSION_FIELDS: Shape = Shape::Struct(
    fields::<declared::Version>,
    &[
        required("prompt-price", PRICE),
        required("output-price", PRICE),
        required("quality", SHARE),
        optional("base", VERSION),
        optional("state", Shape::Scalar(scalar::<declared::VersionState>)),
    ],
);

const WORKSPACE_FIELDS: Shape = Shape::Struct(
    fields::<declared::Workspace>,
    &[
        required("keys", Shape::List(&HASH)),
        optional("models", Shape::List(&Shape::Scalar(scalar::<declared::ModelSelector>))),
        optional("services", SERVICES),
        optional("quality-target", SHARE),
        optional("share", COUNT),
    ],
);

const ENDPOINT_FIELDS: Shape = Shape::Struct(
    fields::<declared::Endpoint>,
    &[
        required("zone", ZONE),
        required("address", ADDRESS),
        optional("versions", VERSIONS),
        optional("services", SERVICES),
        required("slots", COUNT),
        optional("cold-slots", COUNT),
        optional("fencing", FLAG),
        optional("memory", COUNT),
        optional("adapters", COUNT),
        optional("state", STATE),
    ],
);

const CALL_FIELDS: Shape = Shape::Struct(
    fields::<declared::CallRule>,
    &[
        required("method", TEXT),
        required("path", TEXT),
        required("repeat", Shape::Scalar(scalar::<repeat::Repeat>)),
    ],
);

const SERVICE_FIELDS: Shape =
    Shape::Struct(fields::<declared::Service>, &[optional("calls", Shape::List(&CALL_FIELDS))]);

const ROLLOUT_FIELDS: Shape = Shape::Struct(
    fields::<declared::Rollout>,
    &[
        required("from", VERSION),
        required("to", VERSION),
        required("stages", Shape::List(&Shape::Scalar(scalar::<u8>))),
        optional("stage", Shape::Scalar(scalar::<usize>)),
        optional("dwell", SPAN),
        optional("state", Shape::Scalar(scalar::<declared::RolloutState>)),
        optional("reason", Shape::Scalar(scalar::<Option<String>>)),
    ],
);

/// Schema of a daemon's settings.
pub(crate) const SETTINGS: Shape = Shape::Struct(fields::<settings::Settings>, SETTINGS_FIELDS);

const SETTINGS_FIELDS: &[Field] = &[
    required("vm", Shape::Scalar(scalar::<id::VmId>)),
    required("zone", ZONE),
    required("callers", ADDRESS),
    required("operators", ADDRESS),
    required("peers", ADDRESS),
    required("platform", TEXT),
    optional("security", SECURITY),
    optional("limits", LIMITS),
    optional("periods", PERIODS),
];

const TOKEN_FIELDS: Shape = Shape::Struct(
    fields::<settings::Token>,
    &[
        required("operator", Shape::Scalar(scalar::<id::OperatorId>)),
        required("hash", HASH),
        optional("rights", Shape::List(&Shape::Scalar(scalar::<settings::Right>))),
    ],
);

const SECURITY: Shape = Shape::Struct(
    fields::<settings::Security>,
    &[
        optional("insecure", FLAG),
        optional("tokens", Shape::List(&TOKEN_FIELDS)),
        optional("session-keys", Shape::List(&TEXT)),
        optional("authority", TEXT),
        optional("certificate", TEXT),
        optional("private-key", TEXT),
        optional("operator-certificate", TEXT),
        optional("operator-key", TEXT),
    ],
);

const LIMITS: Shape = Shape::Struct(
    fields::<settings::Limits>,
    &[
        optional("body", BYTES),
        optional("headers", BYTES),
        optional("streams", Shape::Scalar(scalar::<usize>)),
        optional("idle", SPAN),
        optional("deadline", SPAN),
    ],
);

const PERIODS: Shape = Shape::Struct(
    fields::<settings::Periods>,
    &[
        optional("poll", SPAN),
        optional("renew", SPAN),
        optional("lease", SPAN),
        optional("billing", SPAN),
        optional("drain", SPAN),
    ],
);
