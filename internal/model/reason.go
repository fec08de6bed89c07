package model

// Reason is a stable code that says why an outcome is what it is.
type Reason string

// The reasons.
const (
	ReasonOK              Reason = "ok"
	ReasonTaskFailed      Reason = "task_failed"
	ReasonCancelled       Reason = "cancelled"
	ReasonDeadline        Reason = "deadline"
	ReasonQueueFull       Reason = "queue_full"
	ReasonRateLimited     Reason = "rate_limited"
	ReasonTooLate         Reason = "cannot_make_deadline"
	ReasonWaitBound       Reason = "longest_wait_passed"
	ReasonImpossible      Reason = "impossible_shape"
	ReasonUnknownAccount  Reason = "unknown_account"
	ReasonKeyReused       Reason = "key_reused"
	ReasonKeyExpired      Reason = "key_expired"
	ReasonKeyFromFuture   Reason = "key_from_future"
	ReasonDraining        Reason = "draining"
	ReasonNoOwner         Reason = "no_owner"
	ReasonNotRecorded     Reason = "not_accepted_yet"
	ReasonHistoryGap      Reason = "history_gap"
	ReasonOwnerLost       Reason = "owner_lost"
	ReasonWorkerLost      Reason = "worker_lost"
	ReasonLeaseLapsed     Reason = "lease_lapsed"
	ReasonPreempted       Reason = "preempted"
	ReasonOverUse         Reason = "over_declared_size"
	ReasonLinkLost        Reason = "link_lost"
	ReasonRefused         Reason = "worker_refused"
	ReasonRetriesSpent    Reason = "retries_spent"
	ReasonGangIncomplete  Reason = "gang_incomplete"
	ReasonMemberFailed    Reason = "member_failed"
	ReasonBadJob          Reason = "fails_on_good_workers"
	ReasonNotConfigured   Reason = "not_configured"
	ReasonNotAllowedThere Reason = "not_allowed_there"
)
