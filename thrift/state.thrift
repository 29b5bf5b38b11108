// The store's keys, as one host tells another what it has seen of them.
//
// Rules for changes, so that two versions can run side by side during a
// rollout: field numbers are never reused, new fields are optional.  A
// reader ignores what it does not know.

namespace py magnoliadyke.wire.state

const i16 VERSION = 2

// A key as it was written; without its value where the asker has that.
struct Entry {
  1: string key,
  2: i64 revision,
  3: optional binary value,
}

// An endpoint's entry in an older copy that the store came back from, which the
// teller does not go by: the endpoint has said that it leaves, or it has gone.
// for_ms is for how long, absent until it is written again.
struct PassedOver {
  1: string name,
  2: i64 revision,
  3: bool gone,
  4: optional i64 for_ms,
}

// All keys up to a revision.  in_reach_ms is how long the teller has had word
// of the store, its own or that of a host that watches, and word_age_ms how old
// that word is; both are absent while it has none.  regained_ms is how long ago
// the store came back to it, or to the host that it heard from, if that is
// recent.  All revisions are of one era; a state without it is not used.
struct StateReply {
  1: i16 version,
  2: i64 revision,
  3: list<Entry> entries,
  4: optional i64 in_reach_ms,
  5: optional i64 regained_ms,
  6: optional i64 word_age_ms,
  7: optional i64 era,
  8: optional list<PassedOver> passed_over,
}

service State {
  // Values written up to the known position are left out; all are told where
  // that is of another era.
  StateReply fetch(
    1: i16 version, 2: i64 known_revision, 3: i64 known_era
  ),
}
