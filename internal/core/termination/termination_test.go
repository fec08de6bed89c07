package termination

import "testing"

func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		observed       Observations
		known, unknown Proof
	}{
		"nothing is known":                        {0, None, None},
		"a silence proves nothing":                {NoAnswer, None, None},
		"a refused connection proves nothing":     {NoAnswer | ConnectionRefused, None, None},
		"a missing entry proves nothing":          {Unlisted, None, None},
		"an announced departure proves nothing":   {Draining, None, None},
		"nor do all of them together":             {NoAnswer | ConnectionRefused | Unlisted | Draining, None, None},
		"another process at the address":          {OtherProcess, ByOtherProcess, ByOtherProcess},
		"the end of the owner's own leases":       {NoAnswer | LeasesExpired, ByLease, None},
		"a worker that answers has its own lists": {LeasesExpired | AnsweredInTerm, None, ByLists},
		"the end of earlier leases":               {NoAnswer | EarlierLeasesExpired, None, ByEarlierLeases},
		"an answer in this term":                  {AnsweredInTerm, None, ByLists},
		"an answer before the worker fell silent": {AnsweredInTerm | NoAnswer | Unlisted, None, ByLists},
		"a vacancy on the roster":                 {Vacant | NoAnswer | Unlisted, None, ByRoster},
		"runs that the roster names":              {RunsRecorded | NoAnswer | Unlisted, None, ByRecordedRuns},
		"a worker that nobody used":               {NeverAssigned | NoAnswer, None, ByNoAssignment},
		"an answer that leaves out ended runs":    {AnsweredInTerm | EndsUnread, None, None},
		"the end of earlier leases beside it":     {AnsweredInTerm | EndsUnread | LeasesExpired | EarlierLeasesExpired, None, None},
		"a silence after it":                      {AnsweredInTerm | EndsUnread | NoAnswer | EarlierLeasesExpired, None, None},
		"a silence beyond all leases after it":    {AnsweredInTerm | EndsUnread | NoAnswer | LeasesExpired | EarlierLeasesExpired, ByLease, ByEarlierLeases},
		"such an answer of a worker nobody used":  {AnsweredInTerm | EndsUnread | NeverAssigned, None, ByNoAssignment},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.observed.KnownRuns(); got != c.known {
				t.Errorf("known runs: %q, want %q", got, c.known)
			}
			if got := c.observed.UnknownRuns(); got != c.unknown {
				t.Errorf("unknown runs: %q, want %q", got, c.unknown)
			}
		})
	}
}

func TestRunIsOver(t *testing.T) {
	for name, c := range map[string]struct {
		run  Run
		want bool
	}{
		"lists from before its state show nothing":         {Run{Started: true, StopAcknowledged: true, OtherIncarnation: true, MissingLists: 9}, false},
		"one list without a started run":                   {Run{Reflected: true, Started: true, MissingLists: 1}, false},
		"two lists without it":                             {Run{Reflected: true, Started: true, MissingLists: 2}, true},
		"a start without an answer may still arrive":       {Run{Reflected: true, MissingLists: 9}, false},
		"an acknowledged stop bars it":                     {Run{Reflected: true, StopAcknowledged: true, MissingLists: 1}, true},
		"lists that leave out ended runs show nothing":     {Run{Reflected: true, Started: true, StopAcknowledged: true, EndsUnread: true, MissingLists: 9}, false},
		"a restart ends it, whatever the new lists hold":   {Run{Reflected: true, Started: true, OtherIncarnation: true, EndsUnread: true}, true},
		"a started run ends with its incarnation":          {Run{Reflected: true, Started: true, OtherIncarnation: true}, true},
		"a start under way may reach the next incarnation": {Run{Reflected: true, OtherIncarnation: true, StopAcknowledged: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.run.IsOver(); got != c.want {
				t.Errorf("over: %v, want %v", got, c.want)
			}
		})
	}
}
