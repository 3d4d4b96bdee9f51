namespace cpp citronspar.wire

/** One try to run a request: the incarnation of the daemon that made it, and a counter. */
struct AttemptId {
  1: i64 incarnation
  2: i64 counter
}

/** Asks an endpoint daemon how well it could run a request. */
struct Probe {
  1: i64 probeId
  2: string account
  3: string model
  4: list<i64> blocks
}

struct ProbeAnswer {
  1: i64 probeId
  2: i32 cachedBlocks
  3: i64 queuedTokens
  4: i64 engineIncarnation
  5: string weights
  6: bool isLeaving
  7: i64 prefillTokensPerSecond
}

/** Hands one request over to an endpoint daemon. It carries the id of the key, never the key. */
struct Dispatch {
  1: AttemptId attempt
  2: string account
  3: string keyId
  4: i64 configVersion
  5: string route
  6: string weights
  7: i64 engineIncarnation
  8: string path
  9: binary body
  10: list<i64> blocks
  11: i64 promptTokens
  12: i64 deadlineMilliseconds
  13: string claimKey
  14: i64 requestDigest
  15: i64 claimRevision
  16: string method
}

/** The endpoint daemon did not hand the request over, and never will. */
struct DispatchRefused {
  1: AttemptId attempt
  2: string errorKind
}

struct StreamDelta {
  1: AttemptId attempt
  2: i64 index
  3: binary data
}

/** The last message of an attempt. An empty errorKind says that the answer is complete. */
struct StreamEnd {
  1: AttemptId attempt
  2: i64 count
  3: string errorKind
  4: i32 status
  5: string contentType
}

struct Cancel {
  1: AttemptId attempt
}

/** Gives the sender of deltas the right to send more. */
struct Credit {
  1: AttemptId attempt
  2: i64 deltas
}

struct FreshnessQuestion {
  1: i64 questionId
}

struct FreshnessAnswer {
  1: i64 questionId
  2: i64 version
  3: bool canVouch
  4: i64 proofAgeMicroseconds
}

/** Asks for the steps from a version to the newest. */
struct ConfigFetch {
  1: i64 haveVersion
}

/** A base version of 0 says that the text is the whole document, else it is a JSON Patch (RFC 6902) on that version. */
struct ConfigPush {
  1: i64 version
  2: i64 baseVersion
  3: string text
}

struct Reserve {
  1: i64 reservationId
  2: string account
  3: i64 tokens
  /** The id of the request that is to be paid for, for the log. */
  4: string request
}

struct ReserveAnswer {
  1: i64 reservationId
  2: bool isGranted
  3: i64 retryAfterMilliseconds
  4: string errorKind
}

struct GiveBack {
  1: i64 reservationId
  2: string account
  3: i64 tokens
}

/** An engine crashed while it ran a request. All requests that one crash took down name the same crash. */
struct SuspectReport {
  1: i64 requestDigest
  2: string endpoint
  3: i64 engineIncarnation
}

struct TimelineQuestion {
  1: i64 questionId
}

struct TimelineEvent {
  1: i64 wallMicroseconds
  2: i64 counter
  3: string daemon
  4: string part
  5: string what
  6: string request
  7: string account
}

struct TimelineAnswer {
  1: i64 questionId
  2: list<TimelineEvent> events
}

/** What an endpoint daemon knows of the engine beside it. */
struct EngineState {
  /** When the engine started, in milliseconds since the epoch; tells its incarnations apart. */
  1: i64 startedMs
  2: bool isAnswering
  3: i64 weightsVersion
  /** New weights are being loaded, or will be within moments. */
  4: bool isLoading
  5: i64 running
  6: i64 waiting
  7: i64 usedTokens
  8: i64 totalTokens
  /** The "address:port" at which the engine takes requests. */
  9: string address
  /** The entry daemons that this daemon heard of lately. */
  10: i32 entryDaemons
  /** Requests that run but have produced nothing yet. */
  11: i64 prefilling
}

/** Sent regularly by each entry daemon to the daemons beside the engines, which tell it their state in return. */
struct EntryHello {
}

/** Requests that were running when an engine crashed, told to all entry daemons. */
struct CrashSuspect {
  1: i64 requestDigest
  2: i64 crash
}

/** An entry daemon hands a prompt to the engine beside the receiver. */
struct PromptSent {
  1: i64 promptId
  /** Tokens that the engine has to read. */
  2: i64 tokens
  /** Hashes of the ever longer beginnings of the prompt that others share. */
  3: list<i64> prefixes
}

/** The engine has read a prompt, or will not. */
struct PromptDone {
  1: i64 promptId
  2: bool isRead
}

union Body {
  1: Probe probe
  2: ProbeAnswer probeAnswer
  3: Dispatch dispatch
  4: DispatchRefused dispatchRefused
  5: StreamDelta streamDelta
  6: StreamEnd streamEnd
  7: Cancel cancel
  8: Credit credit
  9: FreshnessQuestion freshnessQuestion
  10: FreshnessAnswer freshnessAnswer
  11: ConfigFetch configFetch
  12: ConfigPush configPush
  13: Reserve reserve
  14: ReserveAnswer reserveAnswer
  15: GiveBack giveBack
  16: SuspectReport suspectReport
  17: TimelineQuestion timelineQuestion
  18: TimelineAnswer timelineAnswer
  19: EngineState engineState
  20: EntryHello entryHello
  21: CrashSuspect crashSuspect
  22: PromptSent promptSent
  23: PromptDone promptDone
}

/** One frame between two daemons. */
struct Envelope {
  1: string sender
  2: i64 incarnation
  3: i64 wallMicroseconds
  4: i64 wallCounter
  5: Body body
}
