package instance

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evStarted       = logevent.New(2200, slog.LevelInfo, "instance started")
	evStopping      = logevent.New(2201, slog.LevelInfo, "instance stops: no new work")
	evStopped       = logevent.New(2202, slog.LevelInfo, "instance stopped")
	evPolicy        = logevent.New(2203, slog.LevelInfo, "policy in force")
	evPolicyBad     = logevent.New(2204, slog.LevelWarn, "policy record not understood")
	evTermGained    = logevent.New(2210, slog.LevelInfo, "term gained")
	evTermLost      = logevent.New(2211, slog.LevelWarn, "term lost")
	evTermSeen      = logevent.New(2212, slog.LevelInfo, "term of another instance seen")
	evTermWrite     = logevent.New(2213, slog.LevelInfo, "term not written")
	evTakenOver     = logevent.New(2214, slog.LevelInfo, "cell taken over")
	evTakeOverFail  = logevent.New(2215, slog.LevelWarn, "records not read at take-over, tried again")
	evStoreLost     = logevent.New(2220, slog.LevelWarn, "store does not answer")
	evStoreBack     = logevent.New(2221, slog.LevelInfo, "store answers again")
	evRecordBad     = logevent.New(2222, slog.LevelWarn, "record not understood")
	evPersistFailed = logevent.New(2223, slog.LevelWarn, "progress not written, tried again")
	evPersisted     = logevent.New(2224, slog.LevelInfo, "progress is durable")
	evMembers       = logevent.New(2225, slog.LevelInfo, "addresses of instances not exchanged")
	evAccepted      = logevent.New(2230, slog.LevelInfo, "job accepted")
	evRefused       = logevent.New(2231, slog.LevelInfo, "job refused")
	evUnclear       = logevent.New(2232, slog.LevelWarn, "job or cancellation without an answer from the store")
	evCancelled     = logevent.New(2233, slog.LevelInfo, "cancellation accepted")
	evAnswered      = logevent.New(2234, slog.LevelInfo, "state of a job answered")
	evUnanswered    = logevent.New(2235, slog.LevelInfo, "state of a job not known here")
	evSubmitted     = logevent.New(2240, slog.LevelInfo, "job enters the cell")
	evStart         = logevent.New(2241, slog.LevelInfo, "run ordered")
	evStartFailed   = logevent.New(2242, slog.LevelInfo, "run not started or without an answer")
	evStop          = logevent.New(2243, slog.LevelInfo, "run is stopped")
	evStopFailed    = logevent.New(2244, slog.LevelInfo, "stop failed or without an answer")
	evRunEnded      = logevent.New(2245, slog.LevelInfo, "run ended")
	evJobEnded      = logevent.New(2246, slog.LevelInfo, "job ended")
	evWorker        = logevent.New(2247, slog.LevelInfo, "worker")
	evWorkerBad     = logevent.New(2248, slog.LevelWarn, "worker entry names no worker")
	evHoldFailed    = logevent.New(2249, slog.LevelInfo, "worker not heard")
)
