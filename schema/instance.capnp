# Protocol between instances. The generated code is committed; scripts/generate-wire regenerates it.
@0xc2f1a0a7d4be9e31;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("tarragonspar::wire::schema");

struct RequestId {
  issuer @0 :UInt32;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

struct Work {
  id @0 :RequestId;
  tier @1 :UInt8;
  workspace @2 :UInt64;
  model @3 :UInt64;
  profile @4 :UInt64;
  # Times are sent as elapsed or remaining durations, since clocks of instances differ.
  ageUs @5 :Int64;
  remainingUs @6 :Int64;
  promptTokens @7 :UInt32;
  maxOutputTokens @8 :UInt32;
  blocks @9 :List(UInt64);
  idempotent @10 :Bool;
  transfers @11 :UInt8;
  avoid @12 :List(UInt32);
  # Backend servers on which attempts of this request have failed.
  quotaUnits @13 :UInt32;
  expectedOutput @14 :UInt32;
  objectiveUs @15 :Int64;
  # Remaining time to the latency objective; the lowest value means that there is none.
  rank @16 :UInt8;
  originDomain @17 :UInt64;
  # Failure domain of the instance that dispatches the request; 0 means unknown.
  sharedParts @18 :List(UInt64);
  # Keys of the prompt's parts that other requests may share.
  repeated @19 :Bool;
  stream @20 :UInt64;
  resumedStream @21 :UInt64;
  software @22 :UInt64;
  # Hash of the software version whose servers may get the request; 0 means any.
  severalVersions @23 :Bool;
}

struct Call {
  plain @0 :Bool;
  method @1 :Text;
  target @2 :Text;
  contentType @3 :Text;
  body @4 :Data;
}

struct AnswerEvent {
  union {
    started :group {
      server @0 :UInt32;
      status @1 :UInt16;
      contentType @2 :Text;
      cachedTokens @3 :UInt32;
    }
    piece :group {
      offset @4 :UInt64;
      tokens @5 :UInt32;
      text @6 :Data;
    }
    finished :group {
      outcome @7 :UInt8;
      reason @8 :UInt8;
      retryAfterUs @9 :Int64;
      finishReason @10 :Text;
      promptTokens @11 :UInt32;
      generatedTokens @12 :UInt32;
      cachedTokens @13 :UInt32;
    }
  }
}

struct OwnerEnd {
  union {
    legOver @0 :Void;
    refused :group {
      reason @1 :UInt8;
      retryAfterUs @2 :Int64;
    }
    transferred @3 :UInt32;
  }
}

struct ModelDigest {
  model @0 :UInt64;
  freeSlots @1 :UInt32;
  slots @2 :UInt32;
  queuedSeconds @3 :Float32;
  lowestKept @4 :Int8;
  # -1 if no request is queued.
  queued @5 :UInt32;
  prefillRate @6 :Float32;
  serviceSeconds @7 :Float32;
}

struct Member {
  id @0 :UInt32;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  status @3 :UInt8;
}

struct Gossip {
  self @0 :Member;
  members @1 :List(Member);
  digest @2 :List(ModelDigest);
  revision @3 :UInt64;
  # Highest configuration revision known to the sender.
}

struct Answer {
  # Reply to a query that only some instances can answer.
  known @0 :Bool;
  payload @1 :Data;
}

interface RightHolder {
  # Implemented by the dispatcher: the entry instance that accepted a request and alone may send it
  # to a backend server.
  acquire @0 (server :UInt32, digest :List(ModelDigest)) -> (granted :Bool);
  giveBack @1 (server :UInt32) -> ();
  deliver @2 (events :List(AnswerEvent)) -> (wanted :Bool);
}

interface Instance {
  enqueue @0 (from :UInt32, work :Work, call :Call, holder :RightHolder) -> (end :OwnerEnd);
  withdraw @1 (from :UInt32, id :RequestId) -> ();
  gossip @2 (from :UInt32, message :Gossip) -> (reply :Gossip);
  probe @3 (from :UInt32, target :UInt32) -> (reachable :Bool);
  consensus @4 (from :UInt32, messages :Data) -> ();
  # `messages` is encoded by schema/consensus.capnp.
  ask @5 (from :UInt32, topic :UInt8, payload :Data) -> (answer :Answer);
  # Queries between control replicas, entry instances and key holders; `topic` gives the kind.
}
