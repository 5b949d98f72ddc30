// Metrics of one process: event counters, gauges and latency summaries.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "bramleylock/Support/Names.h"

namespace bramleylock {

/// Events that a balancer counts, with one counter for each reason for a
/// refusal, a retry or a drop.
enum class Counter
{
  PacketsReceived,
  PacketsSent,
  PacketsForwarded,
  PacketMalformed,
  PacketOversized,
  PacketVersion,
  PacketDuplicate,
  PacketStray,
  TokenForged,
  TokenForeignService,
  TokenKeyUnknown,
  FlowsOpened,
  FlowsClosed,
  RequestsDispatched,
  RequestsAnswered,
  RequestsCancelled,
  RefusedNotReady,
  RefusedCredential,
  RefusedService,
  RefusedWork,
  RefusedNotAllowed,
  RefusedDraining,
  RefusedQueueFull,
  RefusedDeadline,
  RefusedNoTarget,
  RefusedTargetShed,
  RefusedPlanRate,
  RefusedPlanConcurrency,
  AllowanceAsked,
  AllowanceGiven,
  AllowanceReceived,
  RefusedOpenFirst,
  RefusedTooLarge,
  UnknownOwnerLost,
  UnknownTargetLost,
  UnknownFlowForgotten,
  UnknownDeadline,
  RetryTargetShed,
  RetryConnectFailed,
  RetryConnectionLost,
  RetryBudgetEmpty,
  HedgeSent,
  HedgeWon,
  PermitVacated,
  PartsResent,
  TargetEjected,
  TargetSilent,
  PeerLinkOpened,
  PeerLinkLost,
  PeerAuthFailed,
  PeerFrameMalformed,
  PeerTypeUnknown,
  PeerSendDropped,
  PeerQuestionAnswered,
  PeerQuestionRefused,
  StateBorrowed,
  StateBorrowFailed,
  StoreCalls,
  StoreReads,
  StoreWatches,
  StoreWrites,
  StoreFailures,
  ListsInstalled,
  ListsLowerRevision,
  ListsInvalid,
  ListsEditAccepted,
  ListsEditConflict,
  ListsEditInvalid,
  ListsEditUnknown,
  ListsEditRetried,
  ListsEditSuperseded,
  ListsWrittenBack,
  ListsStoreOlder,
  ListsFetched,
  ListsSendDeferred,
  WatchTakeover,
  AdminUnauthorized,
  PacketStale,
  PacketsHeld,
  PacketsHeldDropped,
  OwnerContinued,
  FlowsHandedOver,
  FlowsInherited,
  HandOverRefused,
  HandOverInDoubt,
  HandOverUnread,
  ContinuationsDropped,
  PauseNoticed,
  TokenKeyNewer,
  KeysRotated,
  KeysExpired,
  PeerUnreachable,
  PeerLinkSilent,
  PeerLinkEvicted,
  MemberProbes,
  MemberProbesFailed,
  MemberSuspected,
  MemberDied,
  MemberRefuted,
  MemberRenewed,
  MemberStale,
  MemberDamped,
  MemberSyncs,
  DomainsLost,
  FlowRefusedNoRoute,
  FlowRefusedNoTarget,
  FlowRefusedEvacuated,
  FlowRefusedWarmUp,
  FlowsHedged,
  HedgesWon,
  HedgeBudgetEmpty,
  EvacuationsStarted,
  EvacuationsEnded,
  FlowRefusedQueueFull,
  FlowRefusedWaited,
  FlowWaited,
  FlowRouteRemoved,
  FlowTargetDead,
  FlowTargetUnreachable,
  FlowCopies,
  FlowMoved,
  FlowsContested,
  FlowTakenOver,
  FlowLeft,
  FlowStale,
  FlowRepeated,
  FlowAnswerUnseen,
  FlowEvicted,
  RequestRepeated,
  TargetSilentFound,
  TargetProbes,
  TargetRestartSuspected,
  PacketEarlierIncarnation,
  PacketTagUnknown,
  PacketTagUncertain,
  PacketTagCorrected,
  PacketRouteUnknown,
  PacketSendFailed,
  RoutesInstalled,
  RouteChangesApplied,
  FormerSharesRecorded,
  FormerSharesUnreadable,
  StoreValuesSuperseded,
  RoutesOlder,
  RoutesUnreadable,
  TargetEntryUnreadable,
  TargetServiceUnknown,
  VmRowUnreadable,
  StateReadings,
  StateReadFailed,
  StateHistoryGone,
  StateRestored,
  StateOutdated,
  StateAsked,
  StateFromPeer,
  TargetsLapsed,
  Count
};

inline constexpr std::size_t kCounterCount =
  static_cast<std::size_t>(Counter::Count);

inline constexpr std::array<NameRow<Counter>, kCounterCount> kCounterNames{ {
  { Counter::PacketsReceived, "packets_received" },
  { Counter::PacketsSent, "packets_sent" },
  { Counter::PacketsForwarded, "packets_forwarded" },
  { Counter::PacketMalformed, "packet_malformed" },
  { Counter::PacketOversized, "packet_oversized" },
  { Counter::PacketVersion, "packet_version" },
  { Counter::PacketDuplicate, "packet_duplicate" },
  { Counter::PacketStray, "packet_stray" },
  { Counter::TokenForged, "token_forged" },
  { Counter::TokenForeignService, "token_foreign_service" },
  { Counter::TokenKeyUnknown, "token_key_unknown" },
  { Counter::FlowsOpened, "flows_opened" },
  { Counter::FlowsClosed, "flows_closed" },
  { Counter::RequestsDispatched, "requests_dispatched" },
  { Counter::RequestsAnswered, "requests_answered" },
  { Counter::RequestsCancelled, "requests_cancelled" },
  { Counter::RefusedNotReady, "refused_not_ready" },
  { Counter::RefusedCredential, "refused_credential" },
  { Counter::RefusedService, "refused_service" },
  { Counter::RefusedWork, "refused_work" },
  { Counter::RefusedNotAllowed, "refused_not_allowed" },
  { Counter::RefusedDraining, "refused_draining" },
  { Counter::RefusedQueueFull, "refused_queue_full" },
  { Counter::RefusedDeadline, "refused_deadline" },
  { Counter::RefusedNoTarget, "refused_no_target" },
  { Counter::RefusedTargetShed, "refused_target_shed" },
  { Counter::RefusedPlanRate, "refused_plan_rate" },
  { Counter::RefusedPlanConcurrency, "refused_plan_concurrency" },
  { Counter::AllowanceAsked, "allowance_asked" },
  { Counter::AllowanceGiven, "allowance_given" },
  { Counter::AllowanceReceived, "allowance_received" },
  { Counter::RefusedOpenFirst, "refused_open_first" },
  { Counter::RefusedTooLarge, "refused_too_large" },
  { Counter::UnknownOwnerLost, "unknown_owner_lost" },
  { Counter::UnknownTargetLost, "unknown_target_lost" },
  { Counter::UnknownFlowForgotten, "unknown_flow_forgotten" },
  { Counter::UnknownDeadline, "unknown_deadline" },
  { Counter::RetryTargetShed, "retry_target_shed" },
  { Counter::RetryConnectFailed, "retry_connect_failed" },
  { Counter::RetryConnectionLost, "retry_connection_lost" },
  { Counter::RetryBudgetEmpty, "retry_budget_empty" },
  { Counter::HedgeSent, "hedge_sent" },
  { Counter::HedgeWon, "hedge_won" },
  { Counter::PermitVacated, "permit_vacated" },
  { Counter::PartsResent, "parts_resent" },
  { Counter::TargetEjected, "target_ejected" },
  { Counter::TargetSilent, "target_silent" },
  { Counter::PeerLinkOpened, "peer_link_opened" },
  { Counter::PeerLinkLost, "peer_link_lost" },
  { Counter::PeerAuthFailed, "peer_auth_failed" },
  { Counter::PeerFrameMalformed, "peer_frame_malformed" },
  { Counter::PeerTypeUnknown, "peer_type_unknown" },
  { Counter::PeerSendDropped, "peer_send_dropped" },
  { Counter::PeerQuestionAnswered, "peer_question_answered" },
  { Counter::PeerQuestionRefused, "peer_question_refused" },
  { Counter::StateBorrowed, "state_borrowed" },
  { Counter::StateBorrowFailed, "state_borrow_failed" },
  { Counter::StoreCalls, "store_calls" },
  { Counter::StoreReads, "store_reads" },
  { Counter::StoreWatches, "store_watches" },
  { Counter::StoreWrites, "store_writes" },
  { Counter::StoreFailures, "store_failures" },
  { Counter::ListsInstalled, "lists_installed" },
  { Counter::ListsLowerRevision, "lists_lower_revision" },
  { Counter::ListsInvalid, "lists_invalid" },
  { Counter::ListsEditAccepted, "lists_edit_accepted" },
  { Counter::ListsEditConflict, "lists_edit_conflict" },
  { Counter::ListsEditInvalid, "lists_edit_invalid" },
  { Counter::ListsEditUnknown, "lists_edit_unknown" },
  { Counter::ListsEditRetried, "lists_edit_retried" },
  { Counter::ListsEditSuperseded, "lists_edit_superseded" },
  { Counter::ListsWrittenBack, "lists_written_back" },
  { Counter::ListsStoreOlder, "lists_store_older" },
  { Counter::ListsFetched, "lists_fetched" },
  { Counter::ListsSendDeferred, "lists_send_deferred" },
  { Counter::WatchTakeover, "watch_takeover" },
  { Counter::AdminUnauthorized, "admin_unauthorized" },
  { Counter::PacketStale, "packet_stale" },
  { Counter::PacketsHeld, "packets_held" },
  { Counter::PacketsHeldDropped, "packets_held_dropped" },
  { Counter::OwnerContinued, "owner_continued" },
  { Counter::FlowsHandedOver, "flows_handed_over" },
  { Counter::FlowsInherited, "flows_inherited" },
  { Counter::HandOverRefused, "hand_over_refused" },
  { Counter::HandOverInDoubt, "hand_over_in_doubt" },
  { Counter::HandOverUnread, "hand_over_unread" },
  { Counter::ContinuationsDropped, "continuations_dropped" },
  { Counter::PauseNoticed, "pause_noticed" },
  { Counter::TokenKeyNewer, "token_key_newer" },
  { Counter::KeysRotated, "keys_rotated" },
  { Counter::KeysExpired, "keys_expired" },
  { Counter::PeerUnreachable, "peer_unreachable" },
  { Counter::PeerLinkSilent, "peer_link_silent" },
  { Counter::PeerLinkEvicted, "peer_link_evicted" },
  { Counter::MemberProbes, "member_probes" },
  { Counter::MemberProbesFailed, "member_probes_failed" },
  { Counter::MemberSuspected, "member_suspected" },
  { Counter::MemberDied, "member_died" },
  { Counter::MemberRefuted, "member_refuted" },
  { Counter::MemberRenewed, "member_renewed" },
  { Counter::MemberStale, "member_stale" },
  { Counter::MemberDamped, "member_damped" },
  { Counter::MemberSyncs, "member_syncs" },
  { Counter::DomainsLost, "domains_lost" },
  { Counter::FlowRefusedNoRoute, "flow_refused_no_route" },
  { Counter::FlowRefusedNoTarget, "flow_refused_no_target" },
  { Counter::FlowRefusedEvacuated, "flow_refused_evacuated" },
  { Counter::FlowRefusedWarmUp, "flow_refused_warm_up" },
  { Counter::FlowsHedged, "flows_hedged" },
  { Counter::HedgesWon, "hedges_won" },
  { Counter::HedgeBudgetEmpty, "hedge_budget_empty" },
  { Counter::EvacuationsStarted, "evacuations_started" },
  { Counter::EvacuationsEnded, "evacuations_ended" },
  { Counter::FlowRefusedQueueFull, "flow_refused_queue_full" },
  { Counter::FlowRefusedWaited, "flow_refused_waited" },
  { Counter::FlowWaited, "flow_waited" },
  { Counter::FlowRouteRemoved, "flow_route_removed" },
  { Counter::FlowTargetDead, "flow_target_dead" },
  { Counter::FlowTargetUnreachable, "flow_target_unreachable" },
  { Counter::FlowCopies, "flow_copies" },
  { Counter::FlowMoved, "flow_moved" },
  { Counter::FlowsContested, "flows_contested" },
  { Counter::FlowTakenOver, "flow_taken_over" },
  { Counter::FlowLeft, "flow_left" },
  { Counter::FlowStale, "flow_stale" },
  { Counter::FlowRepeated, "flow_repeated" },
  { Counter::FlowAnswerUnseen, "flow_answer_unseen" },
  { Counter::FlowEvicted, "flow_evicted" },
  { Counter::RequestRepeated, "request_repeated" },
  { Counter::TargetSilentFound, "target_silent_found" },
  { Counter::TargetProbes, "target_probes" },
  { Counter::TargetRestartSuspected, "target_restart_suspected" },
  { Counter::PacketEarlierIncarnation, "packet_earlier_incarnation" },
  { Counter::PacketTagUnknown, "packet_tag_unknown" },
  { Counter::PacketTagUncertain, "packet_tag_uncertain" },
  { Counter::PacketTagCorrected, "packet_tag_corrected" },
  { Counter::PacketRouteUnknown, "packet_route_unknown" },
  { Counter::PacketSendFailed, "packet_send_failed" },
  { Counter::RoutesInstalled, "routes_installed" },
  { Counter::RouteChangesApplied, "route_changes_applied" },
  { Counter::FormerSharesRecorded, "former_shares_recorded" },
  { Counter::FormerSharesUnreadable, "former_shares_unreadable" },
  { Counter::StoreValuesSuperseded, "store_values_superseded" },
  { Counter::RoutesOlder, "routes_older" },
  { Counter::RoutesUnreadable, "routes_unreadable" },
  { Counter::TargetEntryUnreadable, "target_entry_unreadable" },
  { Counter::TargetServiceUnknown, "target_service_unknown" },
  { Counter::VmRowUnreadable, "vm_row_unreadable" },
  { Counter::StateReadings, "state_readings" },
  { Counter::StateReadFailed, "state_read_failed" },
  { Counter::StateHistoryGone, "state_history_gone" },
  { Counter::StateRestored, "state_restored" },
  { Counter::StateOutdated, "state_outdated" },
  { Counter::StateAsked, "state_asked" },
  { Counter::StateFromPeer, "state_from_peer" },
  { Counter::TargetsLapsed, "targets_lapsed" },
} };

/// Latencies that a balancer observes. Each one is a single series of /metrics,
/// so the number of series does not grow with plans, services or targets.
enum class Latency
{
  AnsweredUrgent,
  AnsweredNormal,
  AnsweredBulk,
  NotRun,
  Unfinished,
  QueueWaitUrgent,
  QueueWaitNormal,
  QueueWaitBulk,
  TargetUrgent,
  TargetNormal,
  TargetBulk,
  FlowOpening,
  FlowWait,
  StoreCall,
  StateInForce
};

/// Maps a latency to its metric name and the labels of its series.
struct LatencyRow
{
  Latency latency;
  std::string_view metric;
  std::string_view labels;
};

inline constexpr std::array<LatencyRow, 15> kLatencyRows{ {
  { Latency::AnsweredUrgent, "request_seconds",
    R"(outcome="answered",urgency="urgent")" },
  { Latency::AnsweredNormal, "request_seconds",
    R"(outcome="answered",urgency="normal")" },
  { Latency::AnsweredBulk, "request_seconds",
    R"(outcome="answered",urgency="bulk")" },
  { Latency::NotRun, "request_seconds", R"(outcome="not_run")" },
  { Latency::Unfinished, "request_seconds", R"(outcome="unfinished")" },
  { Latency::QueueWaitUrgent, "queue_wait_seconds", R"(urgency="urgent")" },
  { Latency::QueueWaitNormal, "queue_wait_seconds", R"(urgency="normal")" },
  { Latency::QueueWaitBulk, "queue_wait_seconds", R"(urgency="bulk")" },
  { Latency::TargetUrgent, "target_seconds", R"(urgency="urgent")" },
  { Latency::TargetNormal, "target_seconds", R"(urgency="normal")" },
  { Latency::TargetBulk, "target_seconds", R"(urgency="bulk")" },
  { Latency::FlowOpening, "flow_opening_seconds", "" },
  { Latency::FlowWait, "flow_wait_seconds", "" },
  { Latency::StoreCall, "store_call_seconds", "" },
  { Latency::StateInForce, "state_in_force_seconds", "" },
} };

/// Summary of observed latencies, in seconds.
struct LatencySummary
{
  std::uint64_t count = 0;
  double sum = 0;
  double median = 0;
  double p99 = 0;
};

/// All counters, gauges and latencies of one process.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  auto operator=(const Metrics&) -> Metrics& = delete;

  auto Add(Counter aCounter, std::uint64_t aAmount = 1) -> void;
  auto Get(Counter aCounter) const -> std::uint64_t;

  /// Sets a gauge; aName must be a valid metric name.
  auto SetGauge(const std::string& aName, double aValue) -> void;

  auto Observe(Latency aLatency, std::chrono::nanoseconds aTime) -> void;

  /// Summarizes all observations since the start of the process.
  auto Summary(Latency aLatency) const -> LatencySummary;

  /// Formats all metrics in the Prometheus text exposition format.
  auto Exposition() const -> std::string;

  /// Returns the counters that are not zero by metric name, for the
  /// administration API.
  auto NonZeroCounters() const -> std::map<std::string, std::uint64_t>;

private:
  struct Latencies;
  std::array<std::uint64_t, kCounterCount> m_counters{};
  std::map<std::string, double> m_gauges;
  std::unique_ptr<Latencies> m_latencies;
};

} // namespace bramleylock
