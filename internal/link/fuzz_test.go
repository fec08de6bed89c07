package link

import (
	"reflect"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// FuzzDecodeBody decodes arbitrary bytes as messages of other processes.
func FuzzDecodeBody(f *testing.F) {
	work := model.Work{Key: "k", Account: "a", Deadline: time.Unix(1, 2).UTC(), Members: 3, Body: []byte("b")}
	for _, v := range []any{
		wire.Submit{Work: work, Sum: 7},
		wire.SubmitReply{Result: model.Result{Key: "k", Answer: []byte("x")}, Moved: true},
		wire.StatusReply{Items: []wire.Status{{Key: "k", Result: &model.Result{}}}},
		wire.Heartbeat{Claims: []model.Offset{1, 2}},
	} {
		b, err := encodeBody(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0xa2, 0x01, 0x01, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		var sub, again wire.Submit
		if err := decodeBody(b, &sub); err == nil {
			out, err := encodeBody(sub)
			if err != nil {
				t.Skip("a time that RFC 3339 can't represent")
			}
			if err := decodeBody(out, &again); err != nil || again.Sum != sub.Sum || !reflect.DeepEqual(again.Work.Shape, sub.Work.Shape) {
				t.Fatalf("%+v became %+v: %v", sub, again, err)
			}
		}
		for _, v := range []any{&wire.SubmitReply{}, &wire.StatusReply{}, &wire.Heartbeat{}, &wire.PlaceReply{}, &wire.ConfigPush{}, &wire.ReachQuery{}, &wire.ReachReply{}} {
			_ = decodeBody(b, v) // must return
		}
	})
}
