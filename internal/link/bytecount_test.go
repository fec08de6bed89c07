package link_test

import (
	"testing"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

func findCount(cs []link.ByteCount, kind string, cross bool) link.ByteCount {
	for _, c := range cs {
		if c.Kind == kind && c.CrossRegion == cross {
			return c
		}
	}
	return link.ByteCount{}
}

func TestBytesAreCountedByKindAndRegion(t *testing.T) {
	const size = 100_000
	for name, c := range map[string]struct {
		region model.Region
		cross  bool
	}{
		"in the same region": {"home", false},
		"to another region":  {"far", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := link.NewServer(link.ServerOptions{Region: "home"})
			link.Handle(s, wire.KindSubmit, echo)
			addr := serve(t, s)
			p := newPool(t, link.PoolOptions{Region: c.region})
			req := wire.Submit{Work: model.Work{Body: make([]byte, size)}}
			if _, err := link.Call[wire.Submit, wire.SubmitReply](testContext(t), p, addr, wire.KindSubmit, req); err != nil {
				t.Fatal(err)
			}
			got := findCount(p.ByteCounts(), "submit", c.cross)
			if got.SentBytes < size || got.SentBytes > size+size/50 || got.ReceivedBytes < size || got.ReceivedBytes > size+size/50 {
				t.Errorf("pool counts %+v", p.ByteCounts())
			}
			if other := findCount(p.ByteCounts(), "submit", !c.cross); other != (link.ByteCount{}) {
				t.Errorf("counted for the wrong region: %+v", other)
			}
			far := findCount(s.ByteCounts(), "submit", c.cross)
			if far.SentBytes != got.ReceivedBytes || far.ReceivedBytes != got.SentBytes {
				t.Errorf("server counts %+v, pool %+v", far, got)
			}
		})
	}
}
