package serve_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/standin/serve"
	"coltsfootmux/internal/standin/worker"
)

// seeds are valid and invalid request bodies.
var seeds = []string{
	`{}`, `null`, `[]`, `"x"`, `1`, ``, ` `, `{`, `{"lease":`, `{"lease":1}`, "\x00", "\xff\xfe",
	`{"lease":"a","cell":"c","epoch":16,"ttl":1000000000,"shape":{"slots":1}}`,
	`{"lease":"a","unknown":true}`, `{"epoch":-1}`, `{"epoch":1e99}`, `{"ttl":99999999999999999999}`,
	`{"lease":"a"}{"lease":"b"}`, `{"holds":[{"group":1,"epoch":16,"ttl":5,"echo":18446744073709551615}]}`,
	`{"stream":"s","records":[{"id":"a","type":"t","data":"!!!"}]}`, `{"scope":{"kind":"cell","name":"c"}}`,
	`{"grant":{"grant":{"grant":null}}}`, `{"body":"AAAA"}`, `{"label":{"members":-5}}`,
}

// roundTrip checks that a body that decodes stays the same when it is encoded and
// decoded again. Otherwise two readers would disagree about it.
func roundTrip[In any](t *testing.T, body []byte) {
	in, err := serve.Decode[In](body)
	if err != nil {
		return
	}
	first, err := json.Marshal(in)
	if err != nil {
		t.Fatalf("decoded, but cannot be encoded: %v", err)
	}
	again, err := serve.Decode[In](first)
	if err != nil {
		t.Fatalf("encoded, but cannot be decoded again: %v\n%s", err, first)
	}
	second, err := json.Marshal(again)
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("changed by a round trip: %s and %s, %v", first, second, err)
	}
}

func FuzzDecodeRequests(f *testing.F) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		roundTrip[platform.Fence](t, body)
		roundTrip[platform.Grant](t, body)
		roundTrip[platform.Start](t, body)
		roundTrip[platform.Renew](t, body)
		roundTrip[platform.Release](t, body)
		roundTrip[platform.Control](t, body)
		roundTrip[protocol.HoldRequest](t, body)
		roundTrip[protocol.WaitRequest](t, body)
		roundTrip[protocol.ListRequest](t, body)
		roundTrip[protocol.AppendRequest](t, body)
		roundTrip[protocol.ReadRequest](t, body)
		roundTrip[protocol.BoundsRequest](t, body)
		roundTrip[worker.Fault](t, body)
		roundTrip[model.Host](t, body)
	})
}
