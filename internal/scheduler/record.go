package scheduler

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// The types of record that schedulers write.
const (
	recordClaim   = "claim"
	recordJob     = "job"
	recordOutcome = "outcome"
)

// shard gives the stream that holds one key group's share of a stream, so that a
// new owner reads only what concerns it.
func shard(s platform.Stream, g model.GroupID) platform.Stream {
	return s + platform.Stream("-"+strconv.FormatUint(uint64(g), 10))
}

func encode[T any](id, typ string, v T) (platform.Record, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return platform.Record{}, eris.Wrapf(err, "encode %s", typ)
	}
	if id == "" {
		id = uuid.NewString()
	}
	return platform.Record{ID: id, Type: typ, Data: data}, nil
}

func decode[T any](r platform.Record, v *T) error {
	return eris.Wrapf(cbor.Unmarshal(r.Data, v), "decode %s", r.Type)
}
