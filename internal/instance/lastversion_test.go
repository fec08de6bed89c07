package instance

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/wire"
)

// During an upgrade the instances of two versions share the store and call each other. The
// records and messages below were written by commit 379d884.
const (
	lastProgress    = "a201a20103020702a10381a201010381a4010102410503a101821903e81903e904a1036163"
	lastRoster      = "a201a2010302080281a301627731026a31302e302e302e313a3103f5"
	lastMember      = "a2016a31302e302e302e393a37021a1dcd6500"
	lastSubmission  = "a601703030313132323333616162626363646402616103a60161710261700301040305fb4008000000000000061904b00461730582a60102021903e8030a04010519012c07f5a40104020106810008f5091b0000018bcfe56800"
	lastTerm        = "a3010402646e312f78036a31302e302e302e393a37"
	lastPolicyQuery = "a2010302f5"
	lastPolicyReply = "a4010902417204a301040260036003f5"
)

// sampleProgress is the progress in lastProgress.
func sampleProgress() job.Progress {
	return job.Progress{Occurrences: []job.Occurrence{{Index: 1, Steps: []job.StepProgress{{
		Step: 1, Done: []byte{5}, Failures: map[int][]int64{1: {1000, 1001}}, Checkpoints: map[int]string{3: "c"},
	}}}}}
}

func sampleSubmission() job.Job {
	return job.Job{
		ID: "00112233aabbccdd", Account: "a", Spec: "s", SubmittedMS: 1700000000000,
		Queue: job.Queue{Name: "q", Pool: "p", Priority: 1, MaxTries: 3, Stretch: 3, ObjectiveMS: 1200},
		Steps: []job.Step{
			{Count: 2, CPU: 1000, MemMB: 10, GPU: 1, EstimateMS: 300, Checkpoints: true},
			{Count: 4, CPU: 1, Gang: true, After: []int{0}},
		},
	}
}

// readsAs checks that a record of the last version is read as want, and that what this
// version writes for want is the same.
func readsAs[T any](t *testing.T, name, record string, want T) {
	t.Helper()
	b, err := hex.DecodeString(record)
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := decodeRecord(b, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: %+v, %v, want %+v", name, got, err, want)
	}
	if again, err := encodeRecord(want); err != nil || hex.EncodeToString(again) != record {
		t.Errorf("%s is written as %x, %v", name, again, err)
	}
}

func TestRecordsOfTheLastVersionAreReadAndWritten(t *testing.T) {
	readsAs(t, "progress", lastProgress, progressRecord{Version: recordVersion{Term: 3, Batch: 7}, Progress: sampleProgress()})
	readsAs(t, "roster", lastRoster, rosterRecord{Version: recordVersion{Term: 3, Batch: 8}, Workers: []cell.RosterEntry{{ID: "w1", Addr: "10.0.0.1:1", Draining: true}}})
	readsAs(t, "member", lastMember, memberRecord{Addr: "10.0.0.9:7", ClaimDelay: 500 * time.Millisecond})
	readsAs(t, "submission", lastSubmission, sampleSubmission())
	readsAs(t, "term", lastTerm, term.Record{Term: 4, Owner: "n1/x", Addr: "10.0.0.9:7"})
	readsAs(t, "policy query", lastPolicyQuery, wire.PolicyQuery{Version: 3, CheckStore: true})
	readsAs(t, "policy reply", lastPolicyReply, wire.PolicyReply{Version: 9, Record: []byte("r"), Term: term.Record{Term: 4}, TermTopicAvailable: true})
}

// The last version reads records with fields that it does not know.
func TestNewFieldsAreLeftOutByTheLastVersion(t *testing.T) {
	p := sampleProgress()
	p.Occurrences[0].Steps[0].Crashes = map[int]int{2: 1}
	p.Occurrences[0].Steps[0].StartCrashes = map[int]int{2: 1}
	leftOut(t, progressRecord{Version: recordVersion{Term: 3, Batch: 7}, Progress: p}, &struct {
		Version  recordVersion `cbor:"1,keyasint"`
		Progress struct {
			Occurrences []struct {
				Steps []struct {
					Done []byte `cbor:"2,keyasint,omitempty"`
				} `cbor:"3,keyasint,omitempty"`
			} `cbor:"3,keyasint,omitempty"`
		} `cbor:"2,keyasint"`
	}{})
	leftOut(t, memberRecord{Addr: "10.0.0.9:7", Region: "r", Relay: true}, &struct {
		Addr string `cbor:"1,keyasint"`
	}{})
	leftOut(t, wire.PolicyQuery{Version: 3, Wait: time.Second, Parts: true}, &struct {
		Version int64 `cbor:"1,keyasint"`
	}{})
	leftOut(t, wire.PolicyReply{Version: 3, Offer: &wire.PolicyOffer{Size: 3}}, &struct {
		Version int64 `cbor:"1,keyasint"`
	}{})
}

// leftOut checks that v is read into a type that lacks some of its fields.
func leftOut(t *testing.T, v, into any) {
	t.Helper()
	b, err := encodeRecord(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(b, into); err != nil {
		t.Errorf("%T: %v", v, err)
	}
}

// A store that instances of the last version have written is taken over whole.
func TestStateOfTheLastVersionIsTakenOver(t *testing.T) {
	r := newRig(t, 0)
	put := func(topic external.Topic, key, record string) {
		b, err := hex.DecodeString(record)
		if err != nil {
			t.Fatal(err)
		}
		r.store.Put(topic, key, b)
	}
	id := sampleSubmission().ID
	r.store.Put(testPolicies, "policy", []byte("1"))
	put(topicsJobs[0], keySubmission+string(id), lastSubmission)
	put(topicMembers, "n9", lastMember)
	r.addInstance(0)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("the job of the last version known", func() bool {
		s, err := r.status(r.owner(), string(id))
		return err == nil && s != job.Unknown
	})
}
