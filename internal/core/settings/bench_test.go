package settings

import (
	"fmt"
	"testing"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

const (
	fleetWorkers  = 13_000
	fleetAccounts = 110
	cellWorkers   = 8
)

// fleet gives a document of a large size.
func fleet(workers int) *config.Document {
	doc := &config.Document{Fleet: config.Fleet{DataCentres: []config.DataCentre{{Name: "dc", Region: "r"}}}}
	for i := range workers {
		if i%cellWorkers == 0 {
			doc.Fleet.Cells = append(doc.Fleet.Cells, model.Cell{ID: model.CellID(fmt.Sprintf("cell-%04d", i/cellWorkers)), DataCentre: "dc"})
		}
		c := &doc.Fleet.Cells[i/cellWorkers]
		c.Workers = append(c.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("worker-%05d", i)), Addr: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			Capacity: model.Shape{Slots: 8, Accelerators: 2, CPUMilli: 64_000, MemoryMB: 262_144},
		})
	}
	for i := range fleetAccounts {
		doc.Accounts = append(doc.Accounts, config.Account{Name: model.Account(fmt.Sprintf("team-%03d", i))})
	}
	return doc.WithDefaults().Canonical()
}

// kinds gives the usual small changes.
func kinds() map[string]Op {
	concurrency, on := 50, true
	return map[string]Op{
		"exception": {PutException: &config.Exception{ID: "e-2026-12-03", Reason: "audit week", Account: "team-007", Concurrency: &concurrency}},
		"drain":     {PutException: &config.Exception{ID: "drain-worker-07001", Reason: "fan replaced", Worker: "worker-07001", Drain: &on}},
		"account":   {PutAccount: &config.Account{Name: "team-007", Share: 2}},
		"worker": {PutWorker: &PutWorker{Cell: "cell-0007", Worker: model.Worker{
			ID: "worker-00057", Addr: "10.0.0.57:7000", Capacity: model.Shape{Slots: 8, Accelerators: 2, CPUMilli: 64_000, MemoryMB: 262_144},
		}}},
	}
}

// BenchmarkRecordBytes reports the size of each kind of change, of a whole
// document as a record and of a snapshot.
func BenchmarkRecordBytes(b *testing.B) {
	doc := fleet(fleetWorkers)
	for b.Loop() {
		for name, op := range kinds() {
			rec := record("01a23e67-493f-75ed-b59f-17016dbc3ee3", 7, op)
			data, err := EncodeRecord(&rec)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), name+"-B")
		}
		rec := record("x", 7)
		rec.Change = Change{Document: doc}
		whole, err := EncodeRecord(&rec)
		if err != nil {
			b.Fatal(err)
		}
		snap, err := EncodeSnapshot(&Snapshot{Version: 7, Document: doc})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(whole)), "document-B")
		b.ReportMetric(float64(len(snap)), "snapshot-B")
	}
}

func BenchmarkApplyToLargeFleet(b *testing.B) {
	doc := fleet(fleetWorkers)
	for name, op := range kinds() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Apply(doc, Change{Ops: []Op{op}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSnapshotOfLargeFleet(b *testing.B) {
	snap := &Snapshot{Version: 7, Document: fleet(fleetWorkers)}
	data, err := EncodeSnapshot(snap)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := EncodeSnapshot(snap); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := DecodeSnapshot(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}
