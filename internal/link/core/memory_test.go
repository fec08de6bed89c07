package core_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// testMemory is a core.Memory that grants up to a limit.
type testMemory struct {
	t           testingT
	held, limit int
}

func (m *testMemory) Claim(_ time.Time, n int) bool {
	if n <= 0 || m.held+n > m.limit {
		return false
	}
	m.held += n
	return true
}

func (m *testMemory) Release(_ time.Time, n int) {
	if m.held -= n; n < 0 || m.held < 0 {
		m.t.Fatalf("%d bytes are released, %d are left", n, m.held)
	}
}

// acceptor returns an acceptor with memory, and a function that passes an event to it and
// returns the frames that it writes.
func acceptor(t testingT, limit int) (*testMemory, *core.Acceptor, func(core.Event) []frame.Frame) {
	m := &testMemory{t: t, limit: limit}
	a := core.NewAcceptor(startTime, limits(), nil)
	a.LimitMemory(m)
	return m, a, func(ev core.Event) (out []frame.Frame) {
		for _, act := range a.Step(startTime, ev) {
			if w, ok := act.(core.Write); ok && w.Frame.Type != frame.Heartbeat {
				out = append(out, w.Frame)
			}
		}
		return out
	}
}

// chunkOf returns chunk n of a request of zeros of the given length.
func chunkOf(call uint64, n, total int) core.Received {
	at := n * frame.ChunkBytes
	return core.Received{Frame: frame.Frame{
		Type: frame.Request, Call: call, Kind: wire.KindSubmit, Offset: uint64(at), Total: uint64(total),
		Sum: frame.Checksum(frame.Request, call, 0, make([]byte, total)), Payload: make([]byte, min(frame.ChunkBytes, total-at)),
	}}
}

// written returns what the acceptor writes next, without heartbeats.
func written(step func(core.Event) []frame.Frame) *frame.Frame {
	for range 3 {
		if out := step(core.Writable{}); len(out) > 0 {
			return &out[0]
		}
	}
	return nil
}

func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	m, _, step := acceptor(t, 4*frame.ChunkBytes)
	step(chunkOf(1, 0, 5*frame.ChunkBytes))
	step(chunkOf(1, 1, 5*frame.ChunkBytes))
	step(chunkOf(2, 0, 5*frame.ChunkBytes))
	step(chunkOf(2, 1, 5*frame.ChunkBytes))
	step(chunkOf(3, 0, 10))
	if f := written(step); f == nil || f.Type != frame.Refuse || f.Call != 3 {
		t.Errorf("call without memory: %+v", f)
	}
	step(chunkOf(1, 2, 5*frame.ChunkBytes))
	if f := written(step); f == nil || f.Type != frame.Refuse || f.Call != 1 {
		t.Errorf("chunk without memory: %+v", f)
	}
	if m.held != 2*frame.ChunkBytes {
		t.Errorf("%d bytes are held, want those of call 2", m.held)
	}
}

func TestAnswersWithoutMemoryAreDropped(t *testing.T) {
	m, _, step := acceptor(t, 3*frame.ChunkBytes)
	step(chunkOf(1, 0, 10))
	step(chunkOf(2, 0, 10))
	step(core.HandlerDone{Call: 1, Body: make([]byte, 2*frame.ChunkBytes)})
	step(core.HandlerDone{Call: 2, Body: make([]byte, 2*frame.ChunkBytes)})
	if f := written(step); f == nil || f.Type != frame.Response || f.Call != 1 {
		t.Errorf("answer with memory: %+v", f)
	}
	if f := written(step); f == nil || f.Type != frame.HandlerError || f.Call != 2 {
		t.Errorf("answer without memory: %+v", f)
	}
	for written(step) != nil {
	}
	if m.held != 0 {
		t.Errorf("%d bytes are held after the last answer", m.held)
	}
}

// TestTinyChunksTakeNoMoreMemory guards against messages in chunks of one byte.
func TestTinyChunksTakeNoMoreMemory(t *testing.T) {
	const size, calls = 1000, 5
	_, a, _ := acceptor(t, 1<<20)
	allocated := testing.AllocsPerRun(1, func() {
		for at := range size {
			for call := uint64(1); call <= calls; call++ {
				a.Step(startTime, core.Received{Frame: frame.Frame{
					Type: frame.Request, Call: call, Kind: wire.KindSubmit, Offset: uint64(at), Total: 2 * size, Payload: []byte{0},
				}})
			}
		}
	})
	if allocated > size*calls*3/2 { // one for each payload
		t.Errorf("%v allocations for %d chunks", allocated, size*calls)
	}
}

// TestRefusalsThatAreNotReadCloseTheLink guards against links that only ask.
func TestRefusalsThatAreNotReadCloseTheLink(t *testing.T) {
	_, a, _ := acceptor(t, 0)
	for call := range uint64(limits().MaxOpenCalls) {
		if acts := a.Step(startTime, chunkOf(call+1, 0, 1)); isClosed(acts) {
			t.Fatalf("closed after %d refusals", call+1)
		}
	}
	if acts := a.Step(startTime, chunkOf(100, 0, 1)); !isClosed(acts) {
		t.Error("not closed")
	}
}

func isClosed(acts []core.Action) bool {
	for _, a := range acts {
		if _, ok := a.(core.CloseLink); ok {
			return true
		}
	}
	return false
}

// TestMemoryOfCallsIsReturned plays random calls and checks that they hold at least what has
// arrived or waits, and nothing once none is open.
func TestMemoryOfCallsIsReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, _, step := acceptor(t, rapid.IntRange(0, 1<<20).Draw(t, "limit"))
		size, next, last := map[uint64]int{}, map[uint64]int{}, uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			call := uint64(rapid.IntRange(1, 6).Draw(t, "call"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				if size[call] == 0 {
					if call = last + 1; call > 6 {
						continue
					}
					last, size[call] = call, rapid.IntRange(1, 5*frame.ChunkBytes).Draw(t, "size")
				}
				if next[call]*frame.ChunkBytes < size[call] {
					step(chunkOf(call, next[call], size[call]))
					next[call]++
				}
			case 3:
				step(core.HandlerDone{Call: call, Body: make([]byte, rapid.IntRange(0, 300_000).Draw(t, "answer"))})
			case 4:
				step(core.Received{Frame: frame.Frame{Type: frame.Cancel, Call: call}})
			default:
				step(core.Writable{})
			}
		}
		for call := uint64(1); call <= 6; call++ {
			step(core.Received{Frame: frame.Frame{Type: frame.Cancel, Call: call}})
			step(core.HandlerDone{Call: call})
		}
		for range 60 {
			step(core.Writable{})
		}
		if m.held != 0 {
			t.Fatalf("%d bytes are held without an open call", m.held)
		}
	})
}

// TestMessagesInChunksOfAnySizeArrive checks that chunks are joined in order.
func TestMessagesInChunksOfAnySizeArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "body")
		body = bytes.Repeat(body, rapid.IntRange(1, 2000).Draw(t, "repeats"))
		a := core.NewAcceptor(startTime, limits(), nil)
		for at := 0; at < len(body); {
			n := min(rapid.OneOf(rapid.IntRange(1, 500), rapid.Just(frame.ChunkBytes)).Draw(t, "chunk"), len(body)-at)
			if at > 1000 {
				n = min(frame.ChunkBytes, len(body)-at)
			}
			acts := a.Step(startTime, core.Received{Frame: frame.Frame{
				Type: frame.Request, Call: 1, Kind: wire.KindSubmit, Offset: uint64(at), Total: uint64(len(body)),
				Sum: frame.Checksum(frame.Request, 1, 0, body), Payload: bytes.Clone(body[at : at+n]),
			}})
			if at += n; at < len(body) {
				continue
			}
			run, ok := acts[len(acts)-1].(core.RunHandler)
			if !ok || !bytes.Equal(run.Body, body) {
				t.Fatalf("the whole message gives %T", acts[len(acts)-1])
			}
		}
	})
}
