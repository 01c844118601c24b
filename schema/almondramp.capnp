@0xd0c1f3a5b7e94621;
# The protocol between entries and agents. docs/PROTOCOL.md describes the exchange.

struct RequestId {
  # Unique over the life of the fleet: an incarnation is never used twice.
  incarnation @0 :UInt64;   # of the entry that accepted the request
  sequence @1 :UInt64;
}

struct Ticket {
  request @0 :RequestId;
  organisation @1 :Text;
  order @2 :UInt8;                # rank of the tier; 0 is the highest
  remainingMillis @3 :UInt64;     # until the deadline, relative, so that clocks need not agree
  prefillTokens @4 :UInt64;       # expected
  outputTokens @5 :UInt64;        # expected
  prefixChunks @6 :List(UInt64);  # chained hashes, longest prefix last
  idempotent @7 :Bool;
  bodyBytes @8 :UInt64;
  objectiveMillis @9 :UInt64;     # until the answer should start
  patienceMillis @10 :UInt64;     # until the ticket expires if it has not been granted
  intervalMicros @11 :UInt64;     # between two requests to a rate-limited upstream; 0 for no limit
  registeredStart @12 :UInt64;    # of the only run that may serve it, in Unix ms; 0 for any
}

enum RefusalCode {
  overloaded @0;       # the queue is full of work of the same or a higher tier
  late @1;             # the deadline can't be met here
  draining @2;         # the agent is draining and accepts no new work
  expired @3;          # the ticket or the grant has expired
  stale @4;            # from an earlier incarnation, or the request was already decided
  unreachable @5;      # no connection to the upstream could be made
  duplicate @6;        # the scheduler already holds a ticket of this request
  evicted @7;          # the ticket was evicted for one of a higher tier
  notReady @8;         # the agent has not loaded its settings yet
}

struct Refusal {
  # A guarantee that the work was not dispatched, with the reason.
  code @0 :RefusalCode;
  retryAfterMillis @1 :UInt64;
}

struct Quote {
  startMillis @0 :UInt64;     # expected wait until dispatch
  cachedTokens @1 :UInt64;    # prompt tokens expected to be in the engine's cache
  savingMillis @2 :UInt64;    # processing time saved by the cached tokens
  beginMillis @3 :UInt64;     # expected time from dispatch to the start of the answer
  endMillis @4 :UInt64;       # expected time from dispatch to the end of the answer
}

struct Grant {
  id @0 :UInt64;              # unique within the agent's incarnation
  validMillis @1 :UInt64;     # time in which it can be accepted, by the agent's clock
  quote @2 :Quote;
}

struct Usage {
  prefillTokens @0 :UInt64;
  cachedTokens @1 :UInt64;
  outputTokens @2 :UInt64;
}

interface Waiter {
  # Receives notices about one ticket; implemented by the entry.
  granted @0 (grant :Grant) -> ();
  handedBack @1 (refusal :Refusal) -> ();
  # The agent has removed the ticket. A grant of it is no longer valid.
}

struct Offered {
  union {
    queued @0 :Quote;
    granted @1 :Grant;
    refused @2 :Refusal;
  }
}

struct AgentStatus {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
  waiting @3 :UInt64;
  running @4 :UInt64;
  slots @5 :UInt64;
  draining @6 :Bool;
  secondsPerToken @7 :Float64;  # measured, for a generated token
}

interface Desk {
  # The scheduler interface of an agent for one authenticated connection.
  offer @0 (ticket :Ticket, waiter :Waiter) -> (offered :Offered);
  begin @1 (request :RequestId, grant :UInt64) -> ();
  # The entry accepts the grant and sends the request to the upstream.

  withdraw @2 (request :RequestId, sentElsewhere :Bool) -> ();
  answering @3 (request :RequestId) -> ();
  # The upstream has started to answer.

  finish @4 (request :RequestId, whole :Bool, usage :Usage) -> ();
  status @5 () -> (status :AgentStatus);
  drain @6 () -> ();
  settings @7 (have :UInt64) -> (handover :Data);
  # Returns the settings update for a process with revision `have`, in JSON.

  adopt @8 (handover :Data) -> (revision :UInt64);
  # Applies a settings update in JSON, and returns the revision that is active
  # afterwards.

  heartbeat @9 (revision :UInt64, holdMillis :UInt64) -> (revision :UInt64);
  # Answered as soon as the agent's revision differs from `revision`, at the
  # latest after the hold.
}

struct Hello {
  version @0 :UInt32;
  name @1 :Text;
  incarnation @2 :UInt64;
  nonce @3 :Data;             # random, from the connecting process
  proof @4 :Data;             # HMAC-SHA256 with the site key over the role and both nonces
  revision @5 :UInt64;
}

struct Welcome {
  version @0 :UInt32;
  incarnation @1 :UInt64;
  proof @2 :Data;
  revision @3 :UInt64;
}

interface Gate {
  # The bootstrap interface of an agent.
  challenge @0 () -> (nonce :Data, version :UInt32);
  hello @1 (hello :Hello) -> (welcome :Welcome, desk :Desk);
}

struct StreamGroup {
  # Streams that began at upstreams of one software version.
  service @0 :Text;
  version @1 :Text;           # empty if the upstreams report none
  neededMillis @2 :UInt64;    # the longest time for which one of the records is needed
  streams @3 :List(UInt64);
}

struct StreamQuery {
  # Asks an entry where a stream began.
  number @0 :UInt64;          # repeated in the reply
  stream @1 :UInt64;
  service @2 :Text;
  timeoutMillis @3 :UInt64;   # the longest time ago that the stream began
}

struct StreamReply {
  number @0 :UInt64;
  known @1 :List(StreamGroup);  # the stream, or empty if it isn't known
  versions @2 :List(Text);      # that upstreams of the service have had in the timeout
}

struct StreamMessage {
  # Sent between entries as datagrams, each followed by a tag made with the site key.
  union {
    began @0 :List(StreamGroup);
    query @1 :StreamQuery;
    reply @2 :StreamReply;
  }
}

struct Spend {
  organisation @0 :Text;
  spent @1 :Float64;          # units spent since the entry's start
  window @2 :Float64;         # units spent by all entries in the last window
}

struct SpendReport {
  # Sent between entries as datagrams, each followed by a tag made with the site key.
  incarnation @0 :UInt64;     # of the entry that reports
  ageMillis @1 :UInt64;       # since its start
  spends @2 :List(Spend);
}

struct LimitReport {
  # What an entry knows of the rate limit that an upstream has named.
  upstream @0 :Text;
  perSecond @1 :Float64;
  namedMillis @2 :UInt64;     # the age of the answer that named it
  unnamed :union {            # the age of the last request whose answer named no limit
    never @3 :Void;
    millis @4 :UInt64;
  }
}

struct PermitRequest {
  # Asks the entry that issues the permits of an upstream for one.
  number @0 :UInt64;          # unique within the incarnation
  incarnation @1 :UInt64;     # of the entry that asks
  rank @2 :UInt8;             # 0 is the highest
  maxWaitMillis @3 :UInt64;
  limit @4 :LimitReport;      # of the upstream, as the entry knows it
}

struct PermitReply {
  number @0 :UInt64;          # of the request
  limit @1 :LimitReport;      # of the upstream, as the issuing entry knows it
  otherEntries @2 :UInt32;    # that wait for permits of the upstream
  union {
    granted @3 :Void;         # the request may be sent now
    queued @4 :Void;          # another reply follows, or none in the longest wait
    denied @5 :UInt64;        # the expected wait in milliseconds, which is too long
  }
}

struct LimitMessage {
  # Sent between entries as datagrams, each followed by a tag made with the site key.
  union {
    limits @0 :List(LimitReport);
    request @1 :PermitRequest;
    reply @2 :PermitReply;
    leaving @3 :UInt64;       # the incarnation of the sender, which issues no more permits
  }
}
