//! Numbered log events; docs/EVENTS.md is their catalogue.

use std::fmt::{self, Write};

use serde::ser::{Serialize, SerializeMap, Serializer};

/// One field of an event.
pub struct Field<'a> {
    /// Key, as it appears in the log.
    pub key: &'static str,
    /// Value, printed with `Display`.
    pub value: &'a (dyn fmt::Display + Sync),
}

/// Creates a field.
pub fn field<'a>(key: &'static str, value: &'a (dyn fmt::Display + Sync)) -> Field<'a> {
    Field { key, value }
}

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A numbered event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name = $number,)*
        }

        impl Event {
            /// All events, in the order of the catalogue.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Fixed text of the event, without fields.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Level at which the event is logged.
            pub const fn level(self) -> log::Level {
                match self {
                    $(Self::$name => log::Level::$level,)*
                }
            }
        }
    };
}

events! {
    DaemonStarted = 1001, Info, "daemon started";
    DaemonReady = 1002, Info, "daemon ready";
    DaemonStopping = 1003, Info, "daemon stopping";
    DaemonStopped = 1004, Info, "daemon stopped";
    ConfigApplied = 1101, Info, "configuration in force";
    ConfigUnreachable = 1102, Warn, "configuration could not be read from the platform";
    ConfigInvalid = 1103, Error, "configuration from the platform is not valid";
    SecurityReloaded = 1104, Info, "credentials reloaded";
    SecurityInvalid = 1105, Error, "credentials could not be reloaded";
    LeaseAcquired = 1201, Info, "lease acquired";
    LeaseRenewFailed = 1202, Warn, "lease could not be renewed";
    LeaseLost = 1203, Error, "lease lost";
    ViewChanged = 1204, Info, "zone view changed";
    RequestRefused = 1301, Info, "request refused";
    RequestUnknown = 1302, Warn, "request ended with unknown outcome";
    BodiesRefused = 1304, Warn, "bodies refused, for want of memory";
    RingFull = 1303, Warn, "ring full";
    CallerLeft = 1310, Info, "caller left before the end";
    EndpointFailed = 1401, Warn, "endpoint failed";
    EndpointState = 1402, Info, "endpoint changed state";
    EndpointEjected = 1410, Warn, "endpoint ejected or taken back";
    RatingMissing = 1411, Debug, "rating service gave no rating in time";
    OrderTaken = 1421, Info, "order taken by an engine";
    OrderFenced = 1422, Warn, "order refused by an engine that has seen a newer view";
    OrderUnknown = 1423, Warn, "order without an answer; its effect is read back";
    PlacementShort = 1424, Warn, "no engine has room for a served version";
    PeerUnreachable = 1501, Warn, "peer could not be reached";
    PeerRejected = 1502, Warn, "peer was rejected";
    ChangeAccepted = 1601, Info, "change accepted";
    ChangeRefused = 1602, Warn, "change refused";
    RolloutHalted = 1603, Warn, "roll-out halted";
    OperatorRefused = 1604, Warn, "operator refused";
    RolloutAdvanced = 1611, Info, "roll-out advanced";
    BillingWritten = 1701, Info, "billing batch written";
    BillingDelayed = 1702, Warn, "billing batch could not be written yet";
    ClaimDelayed = 1703, Warn, "ending of a claim could not be recorded yet";
    BillingSingle = 1704, Warn, "billing records have one holder only";
    RelayStarted = 2001, Info, "relay started";
    RelayReady = 2002, Info, "relay ready";
    RelayStopping = 2003, Info, "relay stopping";
    RelayStopped = 2004, Info, "relay stopped";
    SettingsReloaded = 2005, Info, "settings reloaded";
    SettingsInvalid = 2006, Error, "settings could not be reloaded";
    VmResumed = 2007, Warn, "the VM was suspended";
    LinesDropped = 2008, Warn, "log lines left out";
    MetricsFailed = 2009, Warn, "metrics could not be served";
    ConnectionFailed = 2010, Warn, "connection could not be accepted";
    CatalogInForce = 2101, Info, "declared configuration in force";
    RowInvalid = 2102, Warn, "row of the store can't be decoded";
    StoreLost = 2103, Warn, "store lost";
    StoreRegained = 2104, Info, "store regained";
    ExchangeFailed = 2105, Warn, "exchange with a peer failed after bytes had arrived";
    CatalogAnnounced = 2106, Info, "a peer has a newer configuration";
    StoreRestored = 2107, Warn, "store restored from an older copy";
    EraInvalid = 2108, Error, "answer of the store ignored for its era";
    EndpointKnown = 2201, Info, "endpoint known";
    EndpointGone = 2202, Info, "endpoint gone";
    ZoneChanged = 2203, Info, "zone taken out or back";
    PeerKnown = 2204, Info, "peer known";
    ZoneReach = 2205, Warn, "zone out of reach or reached again";
    EndpointEnded = 2206, Warn, "endpoint ended as an answer began";
    QuarantineChanged = 2207, Warn, "request or prompt segment refused or released";
    TermsChanged = 2208, Info, "endpoint states other terms";
    EndpointCold = 2210, Info, "health check found an endpoint cold";
    EndpointLost = 2212, Warn, "endpoint ended while prompts were there";
    EndpointDoubted = 2213, Info, "endpoint may have started again";
    EndpointSettled = 2214, Info, "doubt whether an endpoint has started again has ended";
    ColdHeard = 2216, Info, "peer has told that an endpoint is cold";
    EntryHeld = 2215, Info, "registration of an earlier start does not count yet";
    EndpointsOutOfReach = 2211, Warn, "endpoints that answer peers are out of reach, or reached again";
    QuarantineDelayed = 2209, Warn, "state of a prompt segment could not be written yet";
    RolloutChanged = 2301, Info, "roll-out changed";
    RolloutHeard = 2303, Info, "verdict on a roll-out heard";
    VersionSent = 2304, Info, "first request to a new version";
    StatusDelayed = 2302, Warn, "state of a roll-out could not be written yet";
    RequestSent = 2401, Info, "request sent to an endpoint";
    AttemptEnded = 2402, Info, "attempt ended";
    RequestWaits = 2403, Info, "request waits for room";
    RequestDeclined = 2404, Warn, "request refused by the relay";
    AnswerDropped = 2405, Info, "weak answer dropped for a larger model";
    StreamResumed = 2406, Warn, "stream resumed at another endpoint";
    StreamBroken = 2407, Warn, "stream broken off";
    RequestDone = 2408, Info, "request answered";
    StartTooLate = 2421, Info, "no engine begins the request in time";
    RequestForwarded = 2410, Info, "request sent through a peer";
    CallerStalled = 2411, Warn, "caller disconnected that read nothing, for want of memory";
    ConnectionsLimited = 2412, Warn, "callers' connections refused or closed, as many are open as may be";
    PromptsForgotten = 2413, Warn, "prompts forgotten early, for want of memory";
    WorkspaceYields = 2420, Info, "workspace beyond its fair share yields";
    CallerGone = 2409, Info, "caller gone before the end";
}

impl Event {
    /// Number of the event in the catalogue, printed as `E1001`.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

/// Logs an event as `E<number> <text>` followed by its fields as `key="value"`; of a long value
/// only the beginning.
pub fn emit(event: Event, fields: &[Field<'_>]) {
    if log::log_enabled!(event.level()) {
        log::log!(event.level(), "{}", TextLine { event, fields });
    }
}

/// Logs an event as one JSON object with sorted keys; of a long value only the beginning.
pub fn emit_json(event: Event, fields: &[Field<'_>]) {
    if !log::log_enabled!(event.level()) {
        return;
    }
    let (number, text) = (event.number(), event.text());
    let mut sorted: Vec<Field<'_>> = Vec::with_capacity(fields.len() + 1);
    sorted.extend(fields.iter().map(|field| Field { ..*field }));
    sorted.push(field("text", &text));
    sorted.sort_unstable_by_key(|field| field.key);
    match serde_json::to_string(&JsonLine { number, fields: &sorted }) {
        Ok(line) => log::log!(event.level(), "{line}"),
        // A value failed to print; the number still identifies the event.
        Err(error) => log::log!(event.level(), "{{\"event\":{number},\"error\":\"{error}\"}}"),
    }
}

// Serializes the sorted fields without copying their values and inserts `event` at its place.
// The fields always contain `text`, which sorts after `event`, so `event` is always written.
struct JsonLine<'a> {
    number: u16,
    fields: &'a [Field<'a>],
}

impl Serialize for JsonLine<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut map = serializer.serialize_map(Some(self.fields.len() + 1))?;
        let mut number = Some(self.number);
        for field in self.fields {
            if field.key > "event"
                && let Some(number) = number.take()
            {
                map.serialize_entry("event", &number)?;
            }
            map.serialize_entry(field.key, &DisplayValue(field.value))?;
        }
        map.end()
    }
}

struct DisplayValue<'a>(&'a dyn fmt::Display);

/// Maximum length of a value in the log, in bytes; callers choose ids, and lines wait in memory until they are written.
const VALUE_MAX: usize = 1_024;

/// Appended to a value of which the end is left out.
const ELLIPSIS: &str = "...";

// A value of which only the beginning is printed, without a copy.
struct Shortened<'a>(&'a dyn fmt::Display);

impl fmt::Display for Shortened<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut beginning = Beginning { output: f, left: Some(VALUE_MAX) };
        write!(beginning, "{}", self.0)
    }
}

struct Beginning<'a, 'b> {
    output: &'a mut fmt::Formatter<'b>,
    // Bytes that may still be written; none once the rest is left out.
    left: Option<usize>,
}

impl fmt::Write for Beginning<'_, '_> {
    fn write_str(&mut self, part: &str) -> fmt::Result {
        let Some(left) = self.left else { return Ok(()) };
        let end = part.floor_char_boundary(left);
        self.left = (end == part.len()).then_some(left - end);
        self.output.write_str(&part[..end])?;
        if self.left.is_none() {
            self.output.write_str(ELLIPSIS)?;
        }
        Ok(())
    }
}

impl Serialize for DisplayValue<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&Shortened(self.0))
    }
}

struct TextLine<'a> {
    event: Event,
    fields: &'a [Field<'a>],
}

impl fmt::Display for TextLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.event.number(), self.event.text())?;
        for field in self.fields {
            let value = Shortened(field.value).to_string();
            write!(f, " {}={value:?}", field.key)?;
        }
        Ok(())
    }
}
