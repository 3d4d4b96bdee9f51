namespace cpp citronspar.wire

/** Identifies one attempt to run a request: the incarnation of the daemon that made it, and a counter. */
struct AttemptId {
  1: i64 incarnation
  2: i64 counter
}

/** Asks an endpoint daemon for its cached blocks and its backlog, to choose an endpoint for a request. */
struct Probe {
  1: i64 probeId
  2: string account
  3: string model
  4: list<i64> blocks
  /** Priority of the prompt, 0 is the most urgent; negative if unknown. */
  5: i32 priority = -1
}

struct ProbeAnswer {
  1: i64 probeId
  2: i32 cachedBlocks
  3: i64 queuedTokens
  4: i64 engineIncarnation
  5: string weights
  6: bool isLeaving
  7: i64 prefillTokensPerSecond
  /** Id of the engine that was last reported to have cached all of the probed prefixes; empty if unknown. */
  8: string cachedEngine
  /** Age of that information. */
  9: i64 cachedAgeMilliseconds
  /** Time since the prefixes were last saved to a KV cache store; negative if unknown. */
  10: i64 savedAgeMilliseconds = -1
}

/** Sends one request to an endpoint daemon. Carries the id of the API key, never the key itself. */
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

/** The endpoint daemon has not forwarded the request to its endpoint and never will. */
struct DispatchRefused {
  1: AttemptId attempt
  2: string errorKind
}

struct StreamDelta {
  1: AttemptId attempt
  2: i64 index
  3: binary data
}

/** The last message of an attempt. The response is complete if errorKind is empty. */
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

/** Flow control: allows the sender of deltas to send this many more. */
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

/** Requests the configuration changes after a version up to the latest one. */
struct ConfigFetch {
  1: i64 haveVersion
}

/** If baseVersion is 0, the text is the whole document, otherwise a JSON Patch (RFC 6902) against that version. */
struct ConfigPush {
  1: i64 version
  2: i64 baseVersion
  3: string text
}

struct Reserve {
  1: i64 reservationId
  2: string account
  3: i64 tokens
  /** Id of the request that the tokens are reserved for; only logged. */
  4: string request
  /** Version of the configuration that the limit below is from; 0 if the sender states no limit. */
  5: i64 configVersion
  /** The account's limit as the sender knows it: tokens or requests per second, 0 for no limit. */
  6: double ratePerSecond
  7: double burst
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

/** Reports a request that was running when an engine crashed. All requests that failed in one crash identify the same crash. */
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

/** State of the engine on the same VM, as its endpoint daemon knows it. */
struct EngineState {
  /** Start time of the engine in milliseconds since the Unix epoch; distinguishes its incarnations. */
  1: i64 startedMs
  2: bool isAnswering
  3: i64 weightsVersion
  /** Whether new weights are being loaded or are about to be. */
  4: bool isLoading
  5: i64 running
  6: i64 waiting
  7: i64 usedTokens
  8: i64 totalTokens
  /** The "address:port" at which the engine accepts requests. */
  9: string address
  /** Number of entry daemons that this daemon has heard from recently. */
  10: i32 entryDaemons
  /** Number of running requests that have not produced any output yet. */
  11: i64 prefilling
  /** Prompt tokens that the engine was seen to prefill per second while prompts waited; 0 if unknown. */
  12: i64 prefillTokensPerSecond
}

/** Sent periodically by each entry daemon to the endpoint daemons, which reply with their EngineState. */
struct EntryHello {
}

/** Tells all entry daemons of a request that was running when an engine crashed. */
struct CrashSuspect {
  1: i64 requestDigest
  2: i64 crash
}

/** Tells an endpoint daemon that an entry daemon is sending a prompt to its engine. */
struct PromptSent {
  1: i64 promptId
  /** Number of tokens that the engine has to prefill. */
  2: i64 tokens
  /** Hashes of the shared prefixes of the prompt, each longer than the one before. */
  3: list<i64> prefixes
  /** Priority of the prompt, 0 is the most urgent; negative if unknown. */
  4: i32 priority = -1
}

/** The engine has finished the prefill of a prompt, or will not run it. */
struct PromptDone {
  1: i64 promptId
  2: bool isRead
}

/** Reports where a prefix can be fetched from to the endpoint daemon that keeps its directory. */
struct PrefixUse {
  1: i64 prefix
  /** Id of the engine that has prefilled or fetched the prefix; empty if none has. */
  2: string engine
  /** Whether a request is saving the prefix to a KV cache store. */
  3: bool isSaved
}

/** Reserves one request to an endpoint that limits its requests, at the endpoint daemon that holds the limit. Answered with ReserveAnswer. */
struct EndpointReserve {
  1: i64 reservationId
  /** Id and start time of the endpoint. */
  2: string endpoint
  /** The limit that the endpoint stated, in requests per second. */
  3: double requestsPerSecond
  /** Time since the endpoint stated it. */
  4: i64 statementAgeMilliseconds
  5: string account
  /** Whether the sender made its previous reservation for this endpoint at another holder. */
  6: bool isHolderNew
}

/** What an entry daemon has seen of one route at the old or the new software version since the order. */
struct RolloutCounts {
  1: string route
  2: bool isNew
  /** Attempts that were sent. */
  3: i64 sent
  /** Attempts that have ended with a response or a failure, without those that were rejected as not run. */
  4: i64 ended
  /** Those of them that failed: a 5xx status of the endpoint, or a broken response. */
  5: i64 failed
  /** The times of the others, by logarithmic class. */
  6: list<i64> times
}

/** Sent periodically by each entry daemon to the holder of an unfinished roll-out. All counts are cumulative since the order. */
struct RolloutReport {
  1: string serviceName
  /** The store's version of the order's row. */
  2: i64 order
  /** Number of this report; the permit repeats it. */
  3: i64 sequence
  4: list<RolloutCounts> counts
  /** The phase that this daemon acts in, see RolloutPermit. */
  5: i32 phase
  /** Attempts that still run at endpoints of an old version. */
  6: i64 oldRunning
}

/** Answers a RolloutReport. */
struct RolloutPermit {
  1: string serviceName
  2: i64 order
  3: i64 sequence
  /** Whether the sender is the holder. If it is not, only the holder's name below is set. */
  4: bool isHolder
  5: i32 phase
  /** Requests that this daemon may send to the new version, cumulative since the order. */
  6: i64 granted
  /** Share of new attempts that go to the new version while the share is raised. */
  7: double share
  /** How long the grant and the share may be used, counted from when the report was sent. */
  8: i64 validMilliseconds
  /** Number of endpoints of the new version that the grant is used on; 0 for all. */
  9: i32 canaryEndpoints
  /** Peer address of the holder, if known. */
  10: string holderAddress
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
  24: PrefixUse prefixUse
  25: EndpointReserve endpointReserve
  26: RolloutReport rolloutReport
  27: RolloutPermit rolloutPermit
}

/** Contents of one frame between two daemons. */
struct Envelope {
  1: string sender
  2: i64 incarnation
  3: i64 wallMicroseconds
  4: i64 wallCounter
  5: Body body
}
