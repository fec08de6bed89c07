package wire

// Kind identifies the type of a call between two processes.
type Kind uint8

// The kinds of calls. The number of a removed kind is not reused.
const (
	KindSubmit       Kind = 1  // entry to group owner: Submit -> SubmitReply
	KindCancel       Kind = 2  // entry to group owner: Cancel -> CancelReply
	KindStatus       Kind = 3  // entry to group owner: StatusQuery -> StatusReply
	KindHeartbeat    Kind = 4  // owner to successors: Heartbeat -> Ack
	KindConfig       Kind = 5  // any to any: ConfigPush -> ConfigReply
	KindPlace        Kind = 6  // group owner to cell owner: Place -> PlaceReply
	KindHandOver     Kind = 7  // owner to successor: HandOver -> Ack
	KindSummary      Kind = 8  // cell owner to peers; not sent by this version
	KindOverview     Kind = 9  // admin to scheduler: OverviewQuery -> Overview
	KindAttemptStart Kind = 10 // cell owner to group owner: AttemptStart -> Ack
	KindWithdraw     Kind = 11 // group owner to cell owner: Withdraw -> Ack
	KindJob          Kind = 12 // instance to owner: JobQuery -> JobReply
	KindPending      Kind = 13 // instance to owner: PendingQuery -> PendingReply
	KindPolicy       Kind = 14 // instance to any: PolicyQuery -> PolicyReply
	KindRecord       Kind = 15 // instance to any: RecordWrite -> RecordWriteReply
	KindAppended     Kind = 16 // instance to owner: Appended -> Ack
	KindYield        Kind = 17 // instance to owner: Yield -> Ack
	KindTermNotice   Kind = 18 // owner to any: TermNotice -> Ack
	KindPolicyPart   Kind = 19 // instance to any: PolicyPartQuery -> PolicyPartReply
	KindWitness      Kind = 20 // instance to any: WitnessQuery -> WitnessReply
	KindReach        Kind = 21 // owner to any: ReachQuery -> ReachReply
	KindOwnerCheck   Kind = 22 // witness to owner: OwnerCheck -> OwnerCheckReply
	KindCapacity     Kind = 23 // instance to owner: CapacityQuery -> CapacityReply
)

// String returns the kind's name in metrics and logs.
func (k Kind) String() string {
	switch k {
	case KindSubmit:
		return "submit"
	case KindCancel:
		return "cancel"
	case KindStatus:
		return "status"
	case KindHeartbeat:
		return "heartbeat"
	case KindConfig:
		return "config"
	case KindPlace:
		return "place"
	case KindHandOver:
		return "hand_over"
	case KindSummary:
		return "summary"
	case KindOverview:
		return "overview"
	case KindAttemptStart:
		return "begun"
	case KindWithdraw:
		return "withdraw"
	case KindJob:
		return "job"
	case KindPending:
		return "pending"
	case KindPolicy:
		return "policy"
	case KindPolicyPart:
		return "policy_part"
	case KindYield:
		return "yield"
	case KindTermNotice:
		return "term_told"
	case KindAppended:
		return "appended"
	case KindRecord:
		return "record"
	case KindWitness:
		return "witness"
	case KindReach:
		return "reach"
	case KindOwnerCheck:
		return "owner_check"
	case KindCapacity:
		return "capacity"
	}
	return "other"
}
