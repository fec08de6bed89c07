package instance

import (
	"log/slog"
	"testing"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/witness"
)

// TestRestartedWitnessChecksTheOwner guards against witnesses that no longer check the owner of their term
// after a restart: an owner that no peer reaches can't name their later incarnations.
func TestRestartedWitnessChecksTheOwner(t *testing.T) {
	i := New(Options{Settings: Settings{Name: "n1", Incarnation: "n1/2", LinkAddr: "127.0.0.1:1"}, Logger: slog.New(slog.DiscardHandler)})
	rec := term.Record{Term: 1, Owner: "n0/1", Addr: "127.0.0.1:2", Witnesses: []term.Witness{{Addr: "127.0.0.1:1", ID: witness.IDOf("n1/1")}}}
	if !i.isWitnessOf(rec) {
		t.Error("the instance does not take itself for a witness")
	}
}
