// Messages between the hosts of the system. Format and rules of change: docs/protocols/control.md.
namespace java org.arbutusfield.wire.gen

// The answer to a message that was not carried out. `code` is a name of the error table.
struct Refusal {
  1: string code
  2: string detail
  3: i64 retryAfterMillis
}

// Record of one member. `state`: 0 alive, 1 suspect, 2 leaving, 3 dead.
struct MemberRecord {
  1: string name
  2: string region
  3: string failureDomain
  4: string callerHost
  5: i32 callerPort
  6: i32 controlPort
  7: i64 incarnation
  8: i32 state
  9: i32 refutation
}

// Shows that the sender is alive and carries rumours about members. Sent as a request and as its response.
struct Heartbeat {
  1: string name
  2: i64 incarnation
  3: i32 state
  4: i32 refutation
  5: i64 revision
  6: binary digest
  7: i64 tableDigest
  8: bool introduce
  9: list<MemberRecord> rumours
}

// Requests the records of those buckets of the member table whose digests differ.
struct TableRequest {
  1: list<i64> bucketDigests
}

struct MemberTable {
  1: list<MemberRecord> records
}

// Requests a chunk of the running configuration, as a delta against the sender's revision if possible.
struct SnapshotRequest {
  1: i64 haveRevision
  2: string haveDigest
  3: i64 wantRevision
  4: string wantDigest
  5: i64 offset
  6: i32 maxBytes
  7: bool full
}

// A chunk of an encoded revision. `baseRevision` 0: the whole content; otherwise a delta against that revision.
struct SnapshotChunk {
  1: i64 revision
  2: string digest
  3: i64 baseRevision
  4: string baseDigest
  5: i64 totalBytes
  6: i64 offset
  7: binary content
}

// Identifies one use of a slot that a broker granted; `sequence` numbers the uses.
struct SlotToken {
  1: string broker
  2: i64 epoch
  3: i64 sequence
}

// Requests a slot from the broker of a group of upstreams. `group`: service and region. `priority`: 0 is the highest.
struct SlotRequest {
  1: string group
  2: string requestId
  3: string host
  4: i64 hostIncarnation
  5: string failureDomain
  6: string serviceName
  7: string requestClass
  8: i32 priority
  9: i64 remainingNanos
}

struct SlotGrant {
  1: string group
  2: string requestId
  3: string upstream
  4: SlotToken token
  5: i64 validNanos
}

struct SlotRefusal {
  1: string group
  2: string requestId
  3: string code
  4: string subject
  5: string detail
  6: i64 retryAfterMillis
}

// Releases a slot. `outcome`: 0 completed, 1 shed, 2 failed, 3 cancelled.
struct SlotRelease {
  1: string group
  2: string host
  3: SlotToken token
  4: i32 outcome
  5: i64 serviceNanos
}

// Permits the host to run the waiting request on a slot that another of its requests releases.
struct SlotPermit {
  1: string group
  2: string requestId
}

// The host finished one request and runs a waiting one on the same slot.
struct SlotTakeover {
  1: SlotRelease release
  2: string requestId
  3: string requestClass
  4: i64 remainingNanos
}

struct SlotCancel {
  1: string group
  2: string host
  3: string requestId
}

struct HeldSlot {
  1: SlotToken token
  2: string requestId
  3: string requestClass
  4: string upstream
  5: i64 remainingNanos
}

// All slots that a host holds.
struct HeldSlots {
  1: string group
  2: string host
  3: i64 hostIncarnation
  4: list<HeldSlot> held
}

// Heartbeat of a broker to a host that uses it.
struct BrokerHeartbeat {
  1: string group
  2: string broker
  3: i64 epoch
}

// One object of a route: its load as a host saw it since its last question, and the upstream that serves it.
struct ObjectHome {
  1: i64 key
  2: i32 requests
  3: i64 busyMicros
  4: string upstream
  5: i32 failures
}

// Objects of one route. They are served in `region` or, if it is empty, in all regions that the route allows.
struct RouteUse {
  1: string route
  2: string region
  3: list<ObjectHome> objects
}

// The load that one start of an upstream stated. `slowness`: how many times longer than usual work takes there; left out
// if the upstream doesn't say. `ageMicros`: from the arrival of the statement at a host to the sending of this message.
struct UpstreamLoad {
  1: string upstream
  2: i64 startMillis
  3: i32 running
  4: i32 waiting
  5: i32 slots
  6: optional double slowness
  7: i64 ageMicros
}

// Asks the planner of a service which upstreams serve the objects, and reports their load on the asking host. Fields 2
// to 4 carried the objects of a single route in earlier versions. `loads`: what the host has heard from upstreams since its
// last report; left out in other questions, and by older builds.
struct HomeQuestion {
  1: string serviceName
  5: list<RouteUse> uses
  6: i64 planId
  7: i64 planVersion
  8: optional list<UpstreamLoad> loads
}

// The homes that changed since the plan version that the host knows, and the homes of the objects that it asked for.
// `loads`: the upstreams that had no free slot, or were slow, when any host last heard from them; in response to loads only.
struct HomeAnswer {
  1: list<ObjectHome> objects
  2: i64 planId
  3: i64 planVersion
  4: optional list<UpstreamLoad> loads
}

// A run of a request that was interrupted because its upstream ended. `ranMicros`: from sending it to the loss;
// `ageMicros`: from the loss to the sending of this message.
struct InterruptedRequest {
  1: string fingerprint
  2: string upstream
  3: i64 startMillis
  4: string address
  5: i32 port
  6: i64 ranMicros
  7: i64 ageMicros
}

// Tells a host that counts for these requests what the sender saw: runs that ended their upstreams, and fingerprints of
// suspect requests that were answered.
struct CrashReport {
  1: list<InterruptedRequest> interrupted
  2: list<string> answered
}

// One start of an upstream.
struct EndedUpstream {
  1: string upstream
  2: i64 startMillis
}

// A request under which these upstreams ended, one after the other; none if it was answered. `sinceMicros`: from the end
// of the first to the sending of this message.
struct SuspectRecord {
  1: string fingerprint
  2: list<EndedUpstream> ended
  3: i64 sinceMicros
}

// Requests under which upstreams ended. Sent as the response to a report, and to all hosts when one is added to; the
// response to that names those that the host has answered since.
struct SuspectList {
  1: list<SuspectRecord> suspects
}

// The count of what a leader has heard of limits, in one of its terms. `term` is a random number.
struct LimitSequence {
  1: i64 term
  2: i64 sequence
}

// The requests per second that one start of an upstream says it accepts from all hosts together. Without `perSecond` it
// says nothing of the kind.
struct KnownLimit {
  1: string upstream
  2: i64 startMillis
  3: optional double perSecond
  4: optional LimitSequence sequence
}

// Asks the host that leads for the permission to send one request to an upstream that accepts `perSecond` requests per
// second from all hosts together. `limit`: what the host knows of the limit that the upstream has named, with the sequence
// at which a leader told it, if one did; hosts of older builds leave it out. `coldPerSecond`: the rate of the upstream if
// it is cold.
struct QuotaRequest {
  1: string upstream
  2: double perSecond
  3: optional KnownLimit limit
  4: optional double coldPerSecond
}

// `granted`: the request may be sent; otherwise `retryMicros` is the time after which to ask again. `limit`: what the leader
// knows, and its present sequence; leaders of older builds leave it out.
struct QuotaResponse {
  1: bool granted
  2: i64 retryMicros
  3: optional KnownLimit limit
}

// Tells the host that leads what a response of an upstream said of its limit. The sequence is that of the permission under
// which the request was sent, if it was sent under one.
struct LimitReport {
  1: KnownLimit limit
}

// The response to a report: what the leader knows now.
struct LimitReportReceived {
  1: KnownLimit limit
}

// The leader tells all hosts that an upstream has begun to name a limit.
struct LimitAnnouncement {
  1: KnownLimit limit
}

// The response to an announcement.
struct LimitAnnouncementReceived {
}

// Tells that the port of an upstream was found closed, or open again after that. `relayed`: the receiver need not pass it on.
struct PortReport {
  1: EndedUpstream upstream
  2: bool open
  3: bool relayed
}

// The response to a port report.
struct PortReportReceived {
}

// Asks another host for the operator's configuration, if it has a later one than `version`. Sent while the store rejects or doesn't
// reach the sender.
struct ConfigurationRequest {
  1: i64 version
}

// The version that the receiver has and, if it is later than the one asked for, the store's item as it was read.
struct ConfigurationResponse {
  1: i64 version
  2: optional string key
  3: optional binary value
}

// What a host reports of one team. `number` increases with each report of the process. `rate` and `burst`: the share that it
// holds, valid for `remainingMillis`, granted under the limit `limitRate` and `limitBurst`. `wanted`: requests that wait for
// a token. `returned`: tokens that it gives back with this report.
struct ShareState {
  1: string team
  2: i64 number
  3: double demand
  4: double rate
  5: double burst
  6: i32 remainingMillis
  7: i32 wanted
  8: double returned
  9: double limitRate
  10: double limitBurst
}

// Asks the host that leads for shares of the limits of teams. `version`: the configuration that the host knows. `term`:
// that of the last answer, 0 if there was none. `uptimeMillis`: time since the process of the host started.
struct ShareReport {
  1: string host
  2: i64 incarnation
  3: i64 version
  4: list<ShareState> teams
  5: i64 term
  6: optional i64 uptimeMillis
}

// The share of a host from the receipt on, in place of an earlier one, and tokens for waiting requests. `filled`: tokens that
// the share has gained with its burst.
struct ShareGrant {
  1: string team
  2: i64 number
  3: double rate
  4: double burst
  5: i32 tokens
  6: i64 retryMillis
  7: double limitRate
  8: double limitBurst
  9: double filled
}

// The response to a report. Teams that the leader doesn't know are missing, as are those for which it needs a report of its
// present term, which a random number names.
struct ShareAnswer {
  1: i64 version
  2: list<ShareGrant> teams
  3: i64 term
}

union ControlMessage {
  1: Refusal refusal
  2: Heartbeat heartbeat
  3: TableRequest tableRequest
  4: MemberTable memberTable
  5: SnapshotRequest snapshotRequest
  6: SnapshotChunk snapshotChunk
  20: SlotRequest slotRequest
  21: SlotGrant slotGrant
  22: SlotRefusal slotRefusal
  23: SlotRelease slotRelease
  24: SlotCancel slotCancel
  25: HeldSlots heldSlots
  26: BrokerHeartbeat brokerHeartbeat
  27: SlotPermit slotPermit
  28: SlotTakeover slotTakeover
  40: HomeQuestion homeQuestion
  41: HomeAnswer homeAnswer
  50: CrashReport crashReport
  51: SuspectList suspectList
  60: QuotaRequest quotaRequest
  61: QuotaResponse quotaResponse
  62: LimitReport limitReport
  63: LimitReportReceived limitReportReceived
  64: LimitAnnouncement limitAnnouncement
  65: LimitAnnouncementReceived limitAnnouncementReceived
  70: PortReport portReport
  71: PortReportReceived portReportReceived
  80: ShareReport shareReport
  81: ShareAnswer shareAnswer
  90: ConfigurationRequest configurationRequest
  91: ConfigurationResponse configurationResponse
}

// The content of one frame. `kind`: 0 one-way, 1 request, 2 response.
struct Envelope {
  1: i32 version
  2: i32 kind
  3: i64 correlationId
  4: ControlMessage message
}
