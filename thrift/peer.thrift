// Messages between the nodes of one deployment.
//
// Rules for changes, so that two versions can run side by side during a
// rollout: field numbers are never reused, new fields are optional, enum
// values are only added.  A reader ignores what it does not know.

namespace py magnoliadyke.wire

const i16 VERSION = 1
const i32 MAX_DATAGRAM_BYTES = 1200

enum MessageKind {
  PING = 1,
  PING_REQUEST = 2,
  ACK = 3,
}

enum MemberState {
  ALIVE = 1,
  SUSPECT = 2,
  DEAD = 3,
  LEFT = 4,
}

struct MemberUpdate {
  1: string host,
  2: i64 incarnation,
  3: MemberState state,
  4: optional string address,
  5: optional i32 caller_port,
  6: optional i32 peer_port,
  7: optional string failure_domain,
  8: optional i64 table_revision,
  9: optional i64 staged_revision,
  10: optional i16 spare_percent,
  11: optional bool takes_work,
  12: optional string successor,
}

// One UDP datagram.  `target` and `target_address` are used by PING_REQUEST.
struct Datagram {
  1: i16 version,
  2: MessageKind kind,
  3: i64 sequence,
  4: string sender,
  5: i64 revision,
  6: optional string target,
  7: optional string target_address,
  8: optional list<MemberUpdate> updates,
  9: optional binary digest,
  10: optional i64 incarnation,
  11: optional string deployment,
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

struct DigestBatch {
  1: i16 version,
  2: string host,
  3: binary digest,
}

struct ProbeReply {
  1: i16 version,
  2: string host,
  3: i64 incarnation,
}

service Peer {
  ProbeReply probe(1: i16 version),
  TableReply fetch_table(1: i16 version, 2: i64 known_revision),
  HandoverReply handover(1: RecordBatch batch),
  DigestBatch exchange_digest(1: DigestBatch batch),
}
