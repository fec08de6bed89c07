package httpcall

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform/protocol"
)

func TestOnlyBytesThatCrossAreCountedAsCrossing(t *testing.T) {
	for name, tc := range map[string]struct {
		own, far model.Region
		across   uint64
	}{
		"another region": {"north", "south", 30},
		"the same":       {"north", "north", 0},
		"not told":       {"north", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			sent, received := mSentAcross.With("fence").Get(), mReceivedAcross.With("fence").Get()
			req := httptest.NewRequest(http.MethodPost, protocol.PathFence, nil)
			req.ContentLength = 10
			res := &http.Response{Header: http.Header{protocol.HeaderRegion: {string(tc.far)}}}
			count(tc.own, req, res, 20)
			got := mSentAcross.With("fence").Get() - sent + mReceivedAcross.With("fence").Get() - received
			if got != tc.across {
				t.Fatalf("%d bytes counted, want %d", got, tc.across)
			}
		})
	}
}
