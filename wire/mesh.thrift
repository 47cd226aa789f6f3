# Messages between cuminreach's own processes. Structs only: each travels in the compact protocol,
# alone in a frame of 4 length bytes and the encoded struct.
namespace java org.cuminreach.wire.generated

struct FaultStruct { 1: required string path, 2: required string reason }

# ---- the replicated log ----
struct MemberStruct { 1: required string id, 2: required string address, 3: required bool voter }
struct MembershipStruct { 1: required list<MemberStruct> members }
union PayloadStruct { 1: binary command, 2: MembershipStruct membership, 3: bool opening }
struct EntryStruct { 1: required i64 index, 2: required i64 term, 3: required PayloadStruct payload }
struct SnapshotStruct { 1: required i64 lastIndex, 2: required i64 lastTerm, 3: required MembershipStruct membership, 4: required binary state }
struct VoteRequestStruct { 1: required i64 term, 2: required i64 lastIndex, 3: required i64 lastTerm, 4: required bool preVote }
struct VoteResponseStruct { 1: required i64 term, 2: required bool granted, 3: required bool preVote }
struct AppendRequestStruct { 1: required i64 term, 2: required i64 previousIndex, 3: required i64 previousTerm, 4: required list<EntryStruct> entries, 5: required i64 commitIndex, 6: required i64 round }
struct AppendResponseStruct { 1: required i64 term, 2: required bool success, 3: required i64 matchIndex, 4: required i64 round }
struct SnapshotRequestStruct { 1: required i64 term, 2: required SnapshotStruct snapshot, 3: required i64 round }
struct ConfirmRequestStruct { 1: required i64 term, 2: required i64 confirmation }
struct ConfirmResponseStruct { 1: required i64 term, 2: required i64 confirmation, 3: required i64 index }
union AgreementStruct {
  1: VoteRequestStruct voteRequest, 2: VoteResponseStruct voteResponse,
  3: AppendRequestStruct appendRequest, 4: AppendResponseStruct appendResponse,
  5: SnapshotRequestStruct snapshotRequest,
  6: ConfirmRequestStruct confirmRequest, 7: ConfirmResponseStruct confirmResponse
}

# ---- commands and the replicated state ----
struct SubmitDocumentStruct { 1: required string operatorName, 2: required string key, 3: required i64 basedOn, 4: required string text, 5: required i64 atMillis }
# A part has the place and length of a stretch of the earlier text, or new text.
struct EditPartStruct { 1: optional i32 keptFrom, 2: optional i32 keptLength, 3: optional string added }
struct EditDocumentStruct { 1: required string operatorName, 2: required string key, 3: required i64 basedOn, 4: required list<EditPartStruct> parts, 5: required i64 atMillis }
struct StepRolloutStruct { 1: required string serviceName, 2: required string version, 3: required i32 phase, 4: required i32 sharePerMille, 5: required string reason, 6: required i64 atMillis }
struct SetEvacuationStruct { 1: required string operatorName, 2: required string dataCentre, 3: required bool evacuated, 4: required i64 atMillis }
union CommandStruct { 1: SubmitDocumentStruct submitDocument, 2: StepRolloutStruct stepRollout, 3: EditDocumentStruct editDocument, 4: SetEvacuationStruct setEvacuation }
struct RolloutStruct { 1: required string serviceName, 2: required string version, 3: required i32 phase, 4: required i32 sharePerMille, 5: required i64 startedMillis, 6: required i64 steppedMillis, 7: required string reason }
union OutcomeStruct { 1: i64 accepted, 2: i64 refusedAsStale, 3: list<FaultStruct> refusedAsFaulty }
struct AnswerStruct { 1: required string key, 2: required OutcomeStruct outcome }
struct HistoryStruct { 1: required i64 version, 2: required i64 atMillis, 3: required string actor, 4: required string event }
struct TakenBackStruct { 1: required string serviceName, 2: required string version }
struct StateStruct {
  1: required i64 version, 2: required i64 documentVersion, 3: required string documentText,
  4: required list<RolloutStruct> rollouts, 5: required list<TakenBackStruct> takenBack,
  6: required list<AnswerStruct> answers, 7: required list<HistoryStruct> history,
  8: optional list<string> evacuatedDataCentres
}

# ---- records of the data folder ----
struct VoteRecord { 1: required i64 term, 2: optional string vote }

# ---- targets and evidence ----
struct AnnouncementStruct {
  1: required string node, 2: required i64 incarnation, 3: required i64 sequence, 4: required string serviceName,
  5: required string version, 6: required string dataCentre, 7: required string inbound, 8: required i32 slots, 9: required i32 phase,
  10: optional string instance, 11: optional i64 coldMillis
}
struct EvidenceStruct {
  1: required string serviceName, 2: required string version, 3: required string route, 4: required i64 calls, 5: required i64 failures, 6: required i64 totalMicros,
  7: optional string target, 8: optional string dataCentre, 9: optional i64 losses, 10: optional i64 timeouts, 11: optional i64 refusals,
  12: optional i32 firstLatencyBucket, 13: optional list<i64> latencyCounts, 14: optional i64 spanMillis, 15: optional bool guarded
}

# ---- between controls ----
struct JoinRequest { 1: required string id, 2: required string address, 3: optional bool leaves }
struct ControlHello { 1: required string id, 2: required string to, 3: required string operatorAddress, 4: optional bool sharesSuspects }
struct SubmissionForward { 1: required i64 correlation, 2: required CommandStruct command }
struct SubmissionAnswer { 1: required i64 correlation, 2: optional OutcomeStruct outcome, 3: optional bool notRun, 4: optional string reason }
struct AnnouncementBatch { 1: required list<AnnouncementStruct> announcements, 2: optional bool complete }
struct EvidenceBatch { 1: required list<EvidenceStruct> evidence }
struct NodeHolding { 1: required string node, 2: required i64 version, 3: required i64 applied }
struct HoldingBatch { 1: required list<NodeHolding> holdings, 2: optional string control, 3: optional i32 sessions, 4: optional string nodeAddress, 5: optional string dataCentre }

# ---- between a node and its control ----
struct NodeHello { 1: required string node, 2: required i64 incarnation, 3: required string dataCentre, 4: required i64 heldVersion, 5: optional bool mayMove, 6: optional bool sharesSuspects }
struct NodeWelcome { 1: required string control, 2: optional i64 knownIncarnation, 3: optional list<string> controls, 4: optional bool sharesSuspects }
struct NodeRedirect { 1: required string reason, 2: required i64 comeBackMillis, 3: optional string nearer }
struct CriteriaStruct { 1: required i32 falseAlarmPerMille, 2: required i32 missPerMille, 3: required i32 failureDifferencePerMille, 4: required i32 slownessPercent, 5: required i32 watchSeconds, 6: required i32 thinEvidence }
struct TargetAccessStruct { 1: required string healthPath, 2: required i32 maxConnections, 3: required string protocol, 4: required bool tls }
struct WeightedServiceStruct { 1: required string serviceName, 2: required i32 weight }
struct LimitsStruct { 1: required i32 maxHeaderBytes, 2: required i64 maxBodyBytes, 3: required i32 headerTimeoutMillis, 4: required i32 idleTimeoutMillis }
# An empty version stands for none.
struct ServiceStruct { 1: required string name, 2: required string version, 3: optional string rolloutVersion, 4: optional i32 sharePerMille, 5: optional i64 doneBySeconds, 6: optional i32 doneByNanos, 7: optional CriteriaStruct criteria, 8: optional TargetAccessStruct access, 9: optional i64 coldStartMillis, 10: optional double coldCallsPerSecond }
# Field 4 of a route carried its only service and field 6 a flag; they stay unused.
struct RouteStruct {
  1: required string name, 2: required string host, 3: required string pathPrefix, 5: required i32 timeoutMillis,
  7: required list<WeightedServiceStruct> destinations, 8: required i32 idempotence, 9: required i32 maxAttempts,
  10: required i32 latencyObjectiveMillis, 11: required i32 priority, 12: optional string kind, 13: optional bool publicAccess, 14: optional list<string> homeRegions
}
# Nodes get digests of keys, never the keys.
struct TenantStruct { 1: required string name, 2: required list<string> keyDigests, 3: required i32 priority, 4: required double ratePerSecond, 5: required double burst, 6: optional list<string> homeRegions }
struct ConfigurationDeltaStruct {
  1: required i64 baseVersion, 2: required i64 version, 3: required i64 documentVersion, 4: required i32 rolloutPriority,
  5: required list<ServiceStruct> services, 6: required list<string> removedServices,
  7: required list<RouteStruct> routes, 8: required list<string> removedRoutes,
  9: required list<RolloutStruct> rollouts, 10: required list<string> removedRollouts, 11: required i64 digest,
  12: required i64 revision, 13: required LimitsStruct limits,
  14: optional list<TenantStruct> tenants, 15: optional list<string> removedTenants, 16: optional list<string> evacuatedDataCentres
}
struct ConfigurationReport { 1: required i64 version, 2: optional list<FaultStruct> faults, 3: optional bool needsWhole }
# A node tells in it whether it may be sent to a nearer control. It may ask for a proof that its
# configuration is current; the control echoes the number of the question with the version that a
# majority has confirmed after the question arrived.
struct Heartbeat { 1: required i64 sentMillis, 2: optional bool mayMove, 3: optional i64 freshnessQuestion, 4: optional i64 answeredQuestion, 5: optional i64 confirmedVersion }
# Calls for which a node asks its control a token each, and tokens of calls that have not run, with
# the time of the control at which the earliest of them was drawn. Between controls it asks for a loan.
struct QuotaDemandStruct { 1: required string tenant, 2: required i32 wanted, 3: optional i32 returned, 4: optional i64 drawnMillis }
struct QuotaRequest { 1: required i64 correlation, 2: required list<QuotaDemandStruct> demands, 3: optional string node, 4: optional string control }
struct QuotaGrantStruct { 1: required string tenant, 2: required i32 granted, 3: required i64 validMillis, 4: optional i64 retryAfterMillis, 5: optional i32 refused, 6: optional i64 drawnMillis }
struct QuotaGrant { 1: required i64 correlation, 2: required list<QuotaGrantStruct> grants, 3: optional string node }

# Requests under which targets were lost. Sent only to processes that have said in their hello or
# welcome that they share them. A request with answeredAgeMillis was answered that long ago.
# targetEnded is set if the node next to the target saw it end.
struct TargetLossStruct { 1: required string target, 2: required i64 ageMillis, 3: optional bool targetEnded }
struct SuspectStruct { 1: required string fingerprint, 2: optional list<TargetLossStruct> losses, 3: optional i64 answeredAgeMillis }
struct SuspectBatch { 1: required list<SuspectStruct> suspects }

# Frame field 11 carried whole documents and stays unused. A packed frame holds another, deflated.
union Frame {
  1: ControlHello controlHello, 2: AgreementStruct agreement, 3: SubmissionForward submissionForward,
  4: SubmissionAnswer submissionAnswer, 5: AnnouncementBatch announcements, 6: EvidenceBatch evidence,
  7: HoldingBatch holdings, 8: NodeHello nodeHello, 9: NodeWelcome nodeWelcome, 10: NodeRedirect nodeRedirect,
  12: ConfigurationReport configurationReport, 13: Heartbeat heartbeat,
  14: ConfigurationDeltaStruct configurationDelta, 15: JoinRequest joinRequest,
  16: binary packed, 17: QuotaRequest quotaRequest, 18: QuotaGrant quotaGrant, 19: SuspectBatch suspects
}
