// Messages between a gateway and the host that places its prompts.
//
// Rules for changes, so that two versions can run side by side during a
// rollout: field numbers are never reused, new fields are optional.  A
// reader ignores what it does not know.  Times are relative, since the
// clocks of two hosts have nothing in common.

namespace py magnoliadyke.wire.placement

const i16 VERSION = 1

struct PromptPart {
  1: i64 id,
  2: i32 tokens,
}

struct Ask {
  1: i64 job,
  2: string pool,
  3: list<PromptPart> parts,
  4: i32 output_tokens,
  5: i32 objective_us,
  6: i32 deadline_us,
  7: bool returning,
  8: bool resumed,
  9: string failure_domain,
  10: list<string> avoid,
  11: optional string version,
  // Urgency of the request, 0 first; without it the order is as before.
  12: optional i32 priority,
  13: optional string workspace,
  // Longest pause between two events for which the answer is on time.
  14: optional i32 pause_us,
  // Whether a copy of the answer's KV cache is to be kept at another engine.
  15: optional bool backed_up,
}

// One of run (placed), retry_after_us (refused) or neither (it waits).
struct Decision {
  1: i64 job,
  2: optional string prefill,
  3: optional string run,
  4: optional string fetch_from,
  5: optional i32 read_tokens,
  6: optional i32 retry_after_us,
  7: optional string reason,
  8: optional i32 expected_us,
  9: optional bool tell_end,
  // The engine that keeps the copy.
  10: optional string backup,
}

enum Event {
  READ = 1,
  ENDED = 2,
  FAILED = 3,
  WITHDRAWN = 4,
  LAPSED = 5,
  MOVED = 6,
}

struct Report {
  1: i64 job,
  2: string pool,
  3: Event event,
  4: optional string endpoint,
  5: optional i32 took_us,
  6: optional string runner,
}

// Parts that an engine was given, told to a host that has begun to place.
// The other fields are there while the engine is still at work on the job:
// read_tokens until it has read the prompt, answers while a slot is held.
struct Memory {
  1: string engine,
  2: list<PromptPart> parts,
  3: optional i64 job,
  4: optional i32 read_tokens,
  5: optional bool answers,
}

struct Recall {
  1: string pool,
  2: list<Memory> memories,
}

// A cause of runs that broke off, and how long before that the last one was sent.
struct BrokenCause {
  1: binary cause,
  2: i32 ran_us,
}

// Runs of a host that an endpoint broke off, as in a crash: what their requests
// consist of, by digests.  software is the service and version of the endpoint,
// answered how many requests such endpoints have answered completely since the
// last report.
struct CrashReport {
  1: string software,
  2: string endpoint,
  3: i32 ago_us,
  4: i32 answered,
  5: list<BrokenCause> causes,
}

// A crash under a run with a cause.
struct Crash {
  1: string endpoint,
  2: string software,
  3: i32 ago_us,
  4: i32 ran_us,
}

// When a request with a cause was last answered completely.
struct CauseAnswered {
  1: string software,
  2: i32 ago_us,
}

// What a host knows of a cause.
struct CauseState {
  1: binary cause,
  2: list<Crash> crashes,
  3: list<CauseAnswered> answers,
  4: optional i32 trials,
  5: optional i32 tried_us,
  6: optional bool barred,
}

struct CauseStates {
  1: list<CauseState> causes,
}

// Who places; told by it when it begins, and while the store is out of its
// reach (yields), so that another host takes over.  The era belongs to the
// revision; one without it is not used.
struct Leader {
  1: string host,
  2: string address,
  3: i64 incarnation,
  4: i64 revision,
  5: optional bool yields,
  6: optional i64 era,
}

// An engine that reads nothing of what it was given.
struct Silent {
  1: string endpoint,
}

// What prompts were found to take, for the host that places next.
struct Learned {
  1: string pool,
  2: i32 latency_us,
  3: i32 thousand_tokens_us,
  4: i32 million_pairs_us,
  5: i32 answering_permille,
  // Average decode time of an output token.
  6: optional i32 output_ns,
  // Requests that the hosts send to be placed, per second.
  7: optional i32 requests_s,
}

// Events of the streams of one engine, as one host received them.
struct EnginePace {
  1: string engine,
  2: i32 events,
  3: i32 mean_us,
  4: i32 longest_us,
}

// What a host received from engines since its last report; told to the leader.
struct PaceReport {
  1: string pool,
  2: list<EnginePace> engines,
}

// What the leader has learned of some engines: the interval between events,
// for the host that places next.
struct LearnedPaces {
  1: string pool,
  2: list<EnginePace> engines,
}

// What a host observed of an endpoint of a plain service since its last report.
struct EndpointObservation {
  1: string endpoint,
  2: i32 responses,
  3: i32 mean_us,
  4: i32 failures,
  5: i32 in_flight,
  // Remaining time of the cooldown that the host has given the endpoint.
  6: optional i32 cooldown_ms,
}

// Observations of one host, told to some others.
struct EndpointObservations {
  1: string host,
  2: i64 incarnation,
  3: list<EndpointObservation> endpoints,
}

// A key of the store as it was written: removed, or with its value, or too
// large for a datagram.
struct KeyChange {
  1: string key,
  2: i64 revision,
  3: optional binary value,
  4: optional bool removed,
}

// Changes of the store's keys after one revision, up to another, as a host
// that watches the store has seen them; regained_ms is how long ago the store
// came back to it.  All revisions are of one era; updates without it are not
// used.
struct KeyUpdates {
  1: string host,
  2: i64 base,
  3: i64 revision,
  4: list<KeyChange> changes,
  5: optional i32 regained_ms,
  6: optional i64 era,
}

// Asks for a proof that the configuration is the newest.
struct ConfirmationRequest {
  1: i64 nonce,
}

// The version that a host goes by, and how long ago it was the newest one.
struct ConfirmationReply {
  1: i64 nonce,
  2: i64 version,
  3: i32 age_ms,
}

// Requests that began to run in a window, by workspace.
struct WindowUsage {
  1: i64 window,
  2: map<string, i32> begun,
}

// What one process has counted so far; windows are told again until they are
// long over.  The time of day is there unless another host tells it.  With an
// era, all reports made final in the last reports_known_ms are in the store of
// that era.
struct Usage {
  1: string host,
  2: i64 incarnation,
  3: list<WindowUsage> windows,
  4: optional i64 wall_ms,
  5: optional i64 era,
  6: optional i32 reports_known_ms,
}

// The time of day as most hosts have it, for one that differs.
struct WallTime {
  1: i64 wall_ms,
}

// What an endpoint named as the requests per second that it takes from all
// hosts, in an answer that was received received_ms ago to a request that was
// sent sent_ms ago; without rate_s the answer named no limit.
struct EndpointLimit {
  1: string endpoint,
  2: optional double rate_s,
  3: i32 sent_ms,
  4: i32 received_ms,
}

// Limits as a host knows them: told by the leader to all hosts, or by a host
// that has got another answer to the leader.
struct EndpointLimits {
  1: list<EndpointLimit> limits,
  2: bool leads,
}

// Asks the leader for leave to send one request to any of these endpoints,
// within max_wait_ms.
struct PermitRequest {
  1: i64 nonce,
  2: list<string> endpoints,
  3: i32 max_wait_ms,
  4: string host,
}

// The endpoint and the time until which the request has to wait; without an
// endpoint there is no permit, and none is to be asked for until then. A time
// of 0 without an endpoint means that the leader knows of no limit of them.
struct PermitReply {
  1: i64 nonce,
  2: optional string endpoint,
  3: i32 wait_ms,
}

// Endpoints that said in an answer that they leave: told by the leader to all
// hosts, or by a host that has got such an answer to the leader.
struct EndpointsLeaving {
  1: list<string> endpoints,
  2: bool leads,
}

// Asks a host which of these endpoints it reaches; the answer goes to address.
struct PathQuery {
  1: string address,
  2: list<string> endpoints,
}

// The endpoints that a host reaches, of those it was asked about, and how many
// requests of other hosts it is serving.
struct PathReply {
  1: string address,
  2: list<string> endpoints,
  3: i32 relayed,
}

// The software version that began a stream, on record for for_ms more.
struct StreamVersion {
  1: binary key,
  2: string version,
  3: i32 for_ms,
}

// Streams of a service that their host has begun.
struct StreamVersions {
  1: string pool,
  2: list<StreamVersion> streams,
}

// Asks a host which version began a stream.
struct StreamQuery {
  1: i64 nonce,
  2: string pool,
  3: binary key,
}

// Without a version the host knows nothing of the stream; one that is not on
// record is the only one that can have served.  With several, more than one
// can have.
struct StreamReply {
  1: i64 nonce,
  2: optional string version,
  3: bool recorded,
  4: optional bool several,
  // Age of the list of endpoints by which the host tells that, in
  // milliseconds.
  5: optional i32 list_age_ms,
}

struct Datagram {
  1: i16 version,
  2: optional Ask ask,
  3: optional Decision decision,
  4: optional Report report,
  5: optional Recall recall,
  // 6 is retired.
  7: optional Leader leader,
  8: optional Silent silent,
  9: optional Learned learned,
  10: optional KeyUpdates updates,
  11: optional ConfirmationRequest confirmation_request,
  12: optional ConfirmationReply confirmation_reply,
  13: optional Usage usage,
  14: optional WallTime wall_time,
  15: optional EndpointLimits endpoint_limits,
  16: optional PermitRequest permit_request,
  17: optional PermitReply permit_reply,
  18: optional EndpointsLeaving endpoints_leaving,
  19: optional PathQuery path_query,
  20: optional PathReply path_reply,
  21: optional StreamVersions stream_versions,
  22: optional StreamQuery stream_query,
  23: optional StreamReply stream_reply,
  24: optional CrashReport crash_report,
  25: optional CauseStates cause_states,
  26: optional PaceReport pace_report,
  27: optional LearnedPaces learned_paces,
  28: optional EndpointObservations endpoint_observations,
}
