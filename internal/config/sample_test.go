package config

import (
	"fmt"
	"strings"
	"testing"

	"coltsfootmux/internal/model"
)

// sample is a small valid document; line numbers in tests refer to it.
const sample = `fleet:
  dataCentres:
    - {name: rix1, region: home}
    - {name: ala1, region: away}
  cells:
    - id: rix1-r1
      dataCentre: rix1
      workers:
        - id: w1
          addr: 127.0.0.1:7001
          capacity: {slots: 8, accelerators: 8}
        - id: w2
          addr: 127.0.0.1:7002
          capacity: {slots: 8, accelerators: 8}
    - id: ala1-r1
      dataCentre: ala1
      workers:
        - id: w3
          addr: 127.0.0.1:7003
          capacity: {slots: 8, accelerators: 8}
accounts:
  - name: clinic
    guarantees:
      - shape: {slots: 2, accelerators: 2}
        count: 4
        adjacency: rack
    longestWait: 90s
  - name: lab
    dataCentres: [ala1]
exceptions:
  - id: e1
    reason: rack switch is being replaced
    cell: rix1-r1
    drain: true
  - id: e2
    reason: audit week
    expires: 2026-12-10T00:00:00Z
    account: lab
    kind: check
    class: urgent
`

// edit returns the sample with the first occurrence of old replaced.
func edit(t testing.TB, old, replacement string) string {
	t.Helper()
	if !strings.Contains(sample, old) {
		t.Fatalf("sample does not contain %q", old)
	}
	return strings.Replace(sample, old, replacement, 1)
}

func mustParse(t testing.TB, text string) *Document {
	t.Helper()
	doc, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// fleetOf returns a document with the given numbers of workers, eight in each cell, and
// accounts, in seven data centres.
func fleetOf(workers, accounts int) *Document {
	doc := &Document{}
	for i := range 7 {
		doc.Fleet.DataCentres = append(doc.Fleet.DataCentres, DataCentre{
			Name: model.DataCentre(fmt.Sprintf("dc%d", i)), Region: model.Region(fmt.Sprintf("region%d", i%3)),
		})
	}
	for i := range workers {
		if i%8 == 0 {
			id := model.CellID(fmt.Sprintf("cell-%04d", i/8))
			doc.Fleet.Cells = append(doc.Fleet.Cells, model.Cell{ID: id, DataCentre: doc.Fleet.DataCentres[i/8%7].Name})
		}
		c := &doc.Fleet.Cells[i/8]
		c.Workers = append(c.Workers, model.Worker{
			ID:       model.WorkerID(fmt.Sprintf("worker-%05d", i)),
			Addr:     fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			Capacity: model.Shape{Slots: 8, Accelerators: 2, CPUMilli: 64_000, MemoryMB: 262_144},
		})
	}
	for i := range accounts {
		doc.Accounts = append(doc.Accounts, Account{
			Name:       model.Account(fmt.Sprintf("team-%03d", i)),
			Guarantees: []Guarantee{{Shape: model.Shape{Slots: 1, Accelerators: 1}, Count: 8, Adjacency: model.AdjacentRack}},
		})
	}
	return doc.WithDefaults().Canonical()
}
