//! Log events of all binaries.
//!
//! Number ranges: node 1xx, entry 2xx, agent 3xx, catalog 4xx, load 5xx, standin 6xx. `docs/EVENTS.md` documents the
//! fields, meaning and operator action of each event; a test checks that it lists the same events. Numbers are never
//! reused.

use log::Level;

/// A type of log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number, unique across all binaries.
    pub number: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Name, in lower-case words separated by hyphens.
    pub name: &'static str,
}

macro_rules! events {
    ($($constant:ident = $number:literal $level:ident $name:literal;)*) => {
        $(
            #[doc = concat!("Event ", $number, ", `", $name, "`.")]
            pub const $constant: Event = Event {
                number: $number,
                level: Level::$level,
                name: $name,
            };
        )*

        /// All events, ordered by number.
        pub const ALL: &[Event] = &[$($constant),*];
    };
}

events! {
    STARTED = 100 Info "started";
    STOPPED = 101 Info "stopped";
    STOP_REQUESTED = 102 Info "stop-requested";
    NO_SIGNAL_HANDLER = 103 Error "no-signal-handler";
    LINES_LEFT_OUT = 104 Warn "lines-left-out";
    SETTINGS_CHANGED = 105 Info "settings-changed";
    STALLED = 106 Info "stalled";
    ACCEPT_FAILED = 110 Warn "accept-failed";
    CONNECTION_FAILED = 111 Debug "connection-failed";
    DRAIN_CUT = 112 Warn "drain-cut";
    CALLER_REFUSED = 113 Info "caller-refused";
    CONNECTION_EVICTED = 114 Info "connection-evicted";
    DRAINING = 200 Info "draining";
    REFUSING = 201 Info "refusing";
    CROSSED_ANSWER = 202 Error "crossed-answer";
    OTHER_WEIGHTS = 203 Error "other-weights";
    NO_OUTCOME = 204 Error "no-outcome";
    ANSWER_CUT = 205 Warn "answer-cut";
    CATALOGUE_CHANGED = 220 Info "catalogue-changed";
    ENTRY_MALFORMED = 221 Error "entry-malformed";
    MEMBER_DOWN = 222 Warn "member-down";
    REFUTED = 223 Warn "refuted";
    PEER_FAILED = 224 Debug "peer-failed";
    WATCH_FAILED = 225 Warn "watch-failed";
    MEMBER_DROPPED = 226 Info "member-dropped";
    REQUEST_REFUSED = 240 Info "request-refused";
    ATTEMPT_FAILED = 241 Info "attempt-failed";
    TARGET_EJECTED = 242 Warn "target-ejected";
    ANSWER_LOST = 243 Debug "answer-lost";
    FOREIGN_ANSWER = 244 Warn "foreign-answer";
    STREAM_RESUMED = 245 Info "stream-resumed";
    STREAM_CUT = 246 Warn "stream-cut";
    STREAM_MALFORMED = 247 Warn "stream-malformed";
    REQUEST_PLACED = 248 Debug "request-placed";
    STREAM_ENDED = 249 Debug "stream-ended";
    CONFIG_IN_FORCE = 250 Info "config-in-force";
    VERSION_NAMED = 251 Info "version-named";
    TARGET_REGISTERED = 252 Info "target-registered";
    TARGET_REMOVED = 253 Info "target-removed";
    OBJECT_MALFORMED = 254 Warn "object-malformed";
    STORE_LOST = 255 Warn "store-lost";
    STORE_BACK = 256 Info "store-back";
    DATAGRAM_FAILED = 257 Debug "datagram-failed";
    CALLER_LEFT = 258 Info "caller-left";
    OUTDATED_ANSWER = 259 Warn "outdated-answer";
    TARGET_LATE = 260 Info "target-late";
    TARGET_LEAVING = 261 Info "target-leaving";
    TARGET_PAUSED = 262 Info "target-paused";
    SOURCE_CHANGED = 263 Info "source-changed";
    TARGET_LIMITED = 264 Info "target-limited";
    ANSWER_TOO_LARGE = 265 Warn "answer-too-large";
    ERROR_ANSWER = 266 Info "error-answer";
    EVACUATION_BEGUN = 268 Info "evacuation-begun";
    EVACUATION_ENDED = 269 Info "evacuation-ended";
    STORE_RESTORED = 270 Warn "store-restored";
    TARGET_UNCONFIRMED = 271 Info "target-unconfirmed";
    CONFIG_OUTDATED = 272 Info "config-outdated";
    TARGET_CRASHED = 273 Warn "target-crashed";
    PART_QUARANTINED = 274 Warn "part-quarantined";
    PART_RELEASED = 275 Info "part-released";
    REQUEST_QUARANTINED = 276 Info "request-quarantined";
    OVERLOAD_BEGAN = 282 Info "overload-began";
    OVERLOAD_ENDED = 283 Info "overload-ended";
    STREAM_BEGUN = 286 Debug "stream-begun";
    STORE_READ = 287 Info "store-read";
    FIRST_READ = 288 Info "first-read";
    EVACUATIONS_UNREAD = 289 Warn "evacuations-unread";
    CHANGE_READ = 290 Info "change-read";
    NEIGHBOUR_LOST = 291 Warn "neighbour-lost";
    CHANGE_DROPPED = 292 Warn "change-dropped";
    GATE_CHANGED = 300 Info "gate-changed";
    STAGING = 301 Info "staging";
    ORDERED = 302 Info "ordered";
    SUPERSEDED = 303 Error "superseded";
    NUMBERED = 304 Info "numbered";
    UNNUMBERED = 305 Warn "unnumbered";
    WRONG_WEIGHTS = 306 Error "wrong-weights";
    ORDER_PORT_HELD = 307 Error "order-port-held";
    BACKEND_FAILED = 308 Warn "backend-failed";
    AGENT_SERVING = 309 Info "agent-serving";
    PROVISIONAL_NUMBER = 310 Warn "provisional-number";
    TOLD_TO_LEAVE = 311 Warn "told-to-leave";
    CLAIMS_CHANGED = 320 Info "claims-changed";
    CLAIMS_FAILED = 321 Warn "claims-failed";
    CLAIMS_MALFORMED = 322 Error "claims-malformed";
    TRANSFER_STARTED = 350 Info "transfer-started";
    TRANSFER_COMPLETE = 351 Info "transfer-complete";
    MANIFEST_FAILED = 352 Warn "manifest-failed";
    PERMIT_FAILED = 353 Warn "permit-failed";
    STAGE_FAILED = 354 Warn "stage-failed";
    CHUNK_CORRUPTED = 355 Warn "chunk-corrupted";
    DRAW_FAILED = 356 Warn "draw-failed";
    CHUNK_ANSWERED = 357 Debug "chunk-answered";
    ENGINE_STATE = 360 Info "engine-state";
    ORDER_FAILED = 361 Warn "order-failed";
    WEIGHTS_MISSING = 362 Error "weights-missing";
    STAGED_UNREAD = 363 Info "staged-unread";
    ORDER_ANSWERED = 364 Info "order-answered";
    OUTCOME_UNKNOWN = 365 Warn "outcome-unknown";
    UNEXPECTED_ORDER = 366 Error "unexpected-order";
    STAGED_DIFFERS = 367 Warn "staged-differs";
    STANDIN_SERVING = 600 Info "standin-serving";
    STANDIN_SWITCHED = 601 Info "standin-switched";
    STANDIN_RESTARTED = 602 Info "standin-restarted";
}
