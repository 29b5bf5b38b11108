// Messages between the nodes of one deployment.
//
// Rules for changes, so that two versions can run side by side during a
// rollout: field numbers are never reused, new fields are optional, enum
// values are only added.  A reader ignores what it does not know.

namespace py magnoliadyke.wire

const i16 VERSION = 1
// Above this a network may split a datagram, and lose it whole with a part.
const i32 MAX_DATAGRAM_BYTES = 1400

enum MessageKind {
  PING = 1,
  PING_REQUEST = 2,
  ACK = 3,
  NOTICE = 4,
  PROMPTS = 5,
}

enum MemberState {
  ALIVE = 1,
  SUSPECT = 2,
  DEAD = 3,
  LEFT = 4,
}

struct Member {
  1: string host,
  2: i64 incarnation,
  3: string address,
  4: i32 caller_port,
  5: i32 peer_port,
  6: string failure_domain,
  7: MemberState state,
  8: i32 refutations,
  9: i64 table_revision,
  10: i64 staged_revision,
  11: i16 spare_percent,
  12: bool takes_work,
  13: optional string successor,
}

// What the source of a datagram can tell of a host. Its numbers are relative
// to those of the source, and absent where they are equal: most are, and the
// sightings are most of what nodes send each other all day. `staged_ahead` is
// relative to the sighting's own table revision. The age of the store's word
// is absent when there was never any.
struct Sighting {
  1: string host,
  2: optional i64 incarnation_ahead,
  3: i32 age_ms,
  4: optional i64 table_ahead,
  5: optional i64 staged_ahead,
  6: optional i32 store_age_ms,
  7: i8 flags,
  8: i16 spare_percent,
}

const i8 FLAG_ROOTED = 1
const i8 FLAG_TAKES_WORK = 2

// The planner of a pool takes an engine out of use for a change, or gives it
// back; the notice lapses by itself when it is not repeated.
struct EngineNotice {
  1: string engine,
  2: i64 fencing,
  3: bool changing,
  4: i32 for_ms,
}

// The sender has given an engine a prompt that takes so long to read.
struct PromptNotice {
  1: string engine,
  2: i32 read_ms,
}

// One UDP datagram; the target's address is only in a PING_REQUEST.
struct Datagram {
  1: i16 version,
  2: MessageKind kind,
  3: i64 sequence,
  4: Member source,
  5: string target,
  6: optional string target_address,
  7: optional i32 target_port,
  8: optional list<Member> updates,
  9: optional list<Sighting> sightings,
  10: optional binary digest,
  11: string deployment,
  12: optional EngineNotice notice,
  13: optional list<PromptNotice> prompts,
}

// The table's document as its JSON text; absent when the peer has none newer.
struct TableReply {
  1: i16 version,
  2: i64 revision,
  3: optional string document,
}

struct RecordBatch {
  1: i16 version,
  2: string host,
  3: i64 incarnation,
  4: list<binary> records,
  5: bool last,
}

struct HandoverReply {
  1: i16 version,
  2: i32 accepted,
  3: bool refused,
}

struct ProbeReply {
  1: i16 version,
  2: string host,
  3: i64 incarnation,
}

// What the planner of a pool knows, as JSON; absent when the host isn't it.
struct PoolStatusReply {
  1: i16 version,
  2: optional string status,
}

service Peer {
  ProbeReply probe(1: i16 version),
  TableReply fetch_table(1: i16 version, 2: i64 known_revision),
  HandoverReply handover(1: RecordBatch batch),
  PoolStatusReply pool_status(1: i16 version, 2: string pool),
}
