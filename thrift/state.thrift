// The store's keys, as one host tells another what it has seen of them.
//
// Rules for changes, so that two versions can run side by side during a
// rollout: field numbers are never reused, new fields are optional.  A
// reader ignores what it does not know.

namespace py magnoliadyke.wire.state

const i16 VERSION = 1

// A key as it was written; without its value where the asker has that.
struct Entry {
  1: string key,
  2: i64 revision,
  3: optional binary value,
}

// All keys up to a revision.  in_reach_ms is absent while the store is out of
// the teller's reach.
struct StateReply {
  1: i16 version,
  2: i64 revision,
  3: list<Entry> entries,
  4: optional i64 in_reach_ms,
}

service State {
  StateReply fetch(1: i16 version, 2: i64 known_revision),
}
